"""A replica turns one request away and wants nothing for 75 s; the router comes sooner.

The replica's ``Retry-After`` is above the 60 s to which the router cuts it.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import harness

RETRY_AFTER_S = 75
# The rule counts from half a second after the answer, and allows two requests.
GRACE_S = 0.5
ALLOWED_REQUESTS = 2
REQUEST_INTERVAL_S = 0.25
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def run(record, folder, routers):
    """Run the case; return whether the rule was broken."""
    store = harness.Store()
    await store.start()
    pause = {}

    async def respond(replica, line, headers, body, writer):
        attempt = headers["attempt-id"]
        if HAS_TROUBLE and replica.name == "i-busy" and not pause:
            pause["answered_s"] = time.monotonic()
            fields = {"Not-Executed": "1", "Retry-After": str(RETRY_AFTER_S)}
            harness.write_response(writer, 503, headers, fields)
            record.write(f"{replica.name} answers {attempt} 503 {fields}")
            return
        replica.ran.append(attempt)
        record.write(f"{replica.name} runs {attempt}")
        harness.write_response(writer, 200, headers, {"Response-Seal": attempt})

    replicas = [harness.Replica(name, respond) for name in ("i-busy", "i-calm")]
    for replica in replicas:
        await replica.start()
        store.put(f"servers/{replica.name}", replica.make_entry("desk"))
    routes = [harness.make_route("status", "/desk/", "desk", "safe")]
    store.put("op/config", harness.make_configuration(1, routes, ["desk"]))
    ports = harness.find_free_ports(4)
    router = harness.Router("front-1", "127.0.0.1", store.address, ports, folder)
    routers.append(router)
    await router.start()
    if not await router.wait_until_ready():
        raise RuntimeError("the router did not get ready")
    started_s = time.monotonic()
    number = 0
    while time.monotonic() < started_s + RETRY_AFTER_S + 3:
        number += 1
        attempt = f"attempt-{number:04d}"
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "2000"}
        status, _, _ = await harness.send(
            router.ip, router.front, "GET", "/desk/status", headers, timeout_s=3
        )
        record.write(f"client: {attempt} is answered {status}")
        await asyncio.sleep(REQUEST_INTERVAL_S)
    answered_s = pause.get("answered_s", started_s)
    early = [
        arrived_s
        for arrived_s, _, _ in replicas[0].arrivals
        if answered_s + GRACE_S < arrived_s < answered_s + RETRY_AFTER_S
    ]
    if not HAS_TROUBLE:
        record.write(f"i-busy never turned a request away; it got {len(early)}")
        return False
    if not pause:
        raise RuntimeError("no request reached the replica that turns one away")
    record.write(
        f"{len(early)} requests reached i-busy from {GRACE_S} s after its 503 until the"
        f" end of its Retry-After; allowed: {ALLOWED_REQUESTS}; at (s):"
        f" {[round(each - answered_s, 1) for each in early]}"
    )
    return len(early) > ALLOWED_REQUESTS


harness.run_case(run, Path(__file__).with_name("record.txt"))
