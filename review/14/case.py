"""A zone is evacuated while two of six routers are partitioned from the store."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import stand  # noqa: E402

ROUTERS, CUT, CLIENTS = 6, 2, 3
CUT_S = 5.5
STABLE_S, EVACUATE_S = 4.0, 5.0
AFTER_S = 4.0
BOUNDS = {
    "stableMs": 4000,
    "ackMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "configApplyMs": 3000,
    "maxStretchMs": 6000,
    "evacuateMs": 5000,
    "budgetExtra": 90,
    "recoveryS": 15,
}


async def send_often(record, router, number, sent, is_over):
    """Send requests to one router, one after the other."""
    client = stand.Client(record, router.front)
    count = 0
    while not is_over.is_set():
        count += 1
        request_id = f"{router.name}-{number}{count:05d}"
        sent[request_id] = time.monotonic()
        await client.send("GET", "shop.example", "/status/x", request_id, 1500)
        await asyncio.sleep(0.03)
    client.close()


async def run(fleet):
    """Run the case; return whether the rule held."""
    record, store = fleet.record, fleet.store
    for number in (1, 2):
        await fleet.add_server(f"i-z1-{number}", "desk", zone="z1")
    evacuated = [
        await fleet.add_server(f"i-z2-{number}", "desk", zone="z2") for number in (1, 2)
    ]
    routes = [stand.make_route("status", "/status/", "desk", "safe")]
    await store.put("op/config", stand.make_configuration(4, routes, ["desk"]))
    links = [stand.Link(record, store.address) for _ in range(ROUTERS)]
    for link in links:
        await link.start()
    await fleet.start_routers(ROUTERS, [each.address for each in links], **BOUNDS)
    sent, is_over = {}, asyncio.Event()
    senders = [
        asyncio.create_task(send_often(record, router, number, sent, is_over))
        for router in fleet.routers
        for number in range(CLIENTS)
    ]
    # Long enough that all routers know each other and are in touch.
    await asyncio.sleep(STABLE_S + 10.0)
    since_s = time.monotonic() - 4.0
    counts = [link.count_calls("servers/", since_s) for link in links]
    readers = sorted(range(ROUTERS), key=lambda each: -counts[each])[:CUT]
    record.say(f"calls for the list of servers in 4 s: {counts}")
    if stand.TROUBLE:
        for number in readers:
            links[number].cut()
        names = ", ".join(fleet.routers[number].name for number in readers)
        record.say(f"cut off from the store for {CUT_S:.1f} s: {names}")
    cut_s = time.monotonic()
    await asyncio.sleep(0.1)
    await store.put("op/evacuate/z2", {})
    confirmed_s = time.monotonic()
    record.say("evacuation of z2 confirmed")
    await asyncio.sleep(CUT_S - (time.monotonic() - cut_s))
    for number in readers:
        links[number].heal()
    record.say(f"the links are whole {time.monotonic() - confirmed_s:.2f} s after it")
    await asyncio.sleep(AFTER_S)
    is_over.set()
    await asyncio.gather(*senders)
    late = {router.name: [] for router in fleet.routers}
    for each in evacuated:
        for request_id, arrived_s in each.arrivals:
            if arrived_s > confirmed_s + EVACUATE_S:
                name = request_id.rpartition("-")[0]
                late[name].append(arrived_s - confirmed_s)
    in_touch = {fleet.routers[n].name for n in range(ROUTERS) if n not in readers}
    if not stand.TROUBLE:
        in_touch = set(late)
    for name, times_s in late.items():
        state = "in touch" if name in in_touch else "cut"
        last_s = max(times_s, default=0.0)
        record.say(
            f"{name} ({state}): {len(times_s)} requests reached z2 over"
            f" {EVACUATE_S:.0f} s after the confirmation, the last {last_s:.2f} s"
        )
    return not any(late[name] for name in in_touch)


stand.run_case(run, FOLDER)
