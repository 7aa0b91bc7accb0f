"""A server leaves unannounced while open connections to the store are silent."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import stand  # noqa: E402

ROUTERS, CLIENTS = 2, 8
STABLE_S, DRAIN_S = 3.0, 2.0
# The server serves for this long after its entry was removed.
SERVES_S = 4.0


async def send_often(fleet, number, sent, statuses, is_over):
    """Send orders, one after the other."""
    client = stand.Client(fleet.record, fleet.routers[number % ROUTERS].front)
    count = 0
    while not is_over.is_set():
        count += 1
        request_id = f"c{number}-{count}"
        sent[request_id] = time.monotonic()
        statuses[request_id] = await client.send(
            "POST", "shop.example", "/orders/x", request_id, 1500, body=b"order"
        )
        await asyncio.sleep(0.05)
    client.close()


async def run(fleet):
    """Run the case; return whether the rule held."""
    record, store = fleet.record, fleet.store
    for number in (1, 2):
        await fleet.add_server(f"i-{number}", "desk", work_s=0.05)
    leaving = await fleet.add_server("i-leaving", "desk", work_s=0.05)
    routes = [stand.make_route("orders", "/orders/", "desk", "unsafe")]
    await store.put("op/config", stand.make_configuration(4, routes, ["desk"]))
    path = stand.Link(record, store.address)
    await path.start()
    await fleet.start_routers(ROUTERS, [path.address] * ROUTERS)
    sent, statuses, is_over = {}, {}, asyncio.Event()
    senders = [
        asyncio.create_task(send_often(fleet, number, sent, statuses, is_over))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(5.0)
    silent_s = time.monotonic()
    if stand.TROUBLE:
        path.silence(0.0)
    await asyncio.sleep(0.1)
    await leaving.leave_unannounced()
    removed_s = time.monotonic()
    record.say("the entry of i-leaving is removed")
    await asyncio.sleep(SERVES_S)
    leaving.exit()
    await asyncio.sleep(2.0)
    is_over.set()
    await asyncio.gather(*senders)
    late = [
        (request_id, arrived_s)
        for request_id, arrived_s in leaving.arrivals
        if arrived_s > removed_s + DRAIN_S and sent[request_id] > silent_s + STABLE_S
    ]
    last_s = max((arrived_s for _, arrived_s in late), default=removed_s) - removed_s
    lost = [request_id for request_id, _ in late if statuses[request_id] != 200]
    record.say(
        f"{len(late)} requests reached i-leaving over {DRAIN_S:.0f} s after the removal"
        f" through routers in touch, the last {last_s:.2f} s after it; {len(lost)} of"
        " them got no answer of the server"
    )
    return not late


stand.run_case(run, FOLDER)
