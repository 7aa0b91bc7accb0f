"""A configuration is confirmed while idle connections to the store are silent."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_3"))

import stand  # noqa: E402

ROUTERS = 2
# A connection that carries nothing for this long is forgotten on the way.
IDLE_S = 3.0
STABLE_S = 3.0
APPLY_S = 2.0
OBSERVED_S = 12.0
KEPT_KEY, DROPPED_KEY = "k-kept-0001", "k-dropped-01"


def configure(version, service, keys):
    """Return a configuration that sends orders to a service."""
    routes = [stand.make_route("orders", "/orders/", service, "unsafe")]
    return stand.make_configuration(version, routes, ["old", "new"], {"ward": keys})


async def send_often(record, router, sent, is_over):
    """Send orders with both keys, one after the other."""
    client = stand.Client(record, router.front)
    number = 0
    while not is_over.is_set():
        number += 1
        for key in (KEPT_KEY, DROPPED_KEY):
            request_id = f"{router.name}-{key}-{number}"
            sent[request_id] = time.monotonic()
            await client.send(
                "POST", "shop.example", "/orders/x", request_id, 1500, key, b"order"
            )
        await asyncio.sleep(0.05)
    client.close()


async def run(fleet):
    """Run the case; return whether the rule held."""
    record, store = fleet.record, fleet.store
    old = await fleet.add_server("i-old", "old")
    new = await fleet.add_server("i-new", "new")
    await store.put("op/config", configure(4, "old", [KEPT_KEY, DROPPED_KEY]))
    path = stand.Link(record, store.address)
    await path.start()
    await fleet.start_routers(ROUTERS, [path.address] * ROUTERS)
    sent, is_over = {}, asyncio.Event()
    senders = [
        asyncio.create_task(send_often(record, router, sent, is_over))
        for router in fleet.routers
    ]
    await asyncio.sleep(IDLE_S + 0.2)
    if stand.TROUBLE:
        path.silence(IDLE_S)
    await asyncio.sleep(STABLE_S + 0.2)
    await store.put("op/config", configure(9, "new", [KEPT_KEY]))
    confirmed_s = time.monotonic()
    record.say("version 9 confirmed: orders go to service new, one key is dropped")
    await asyncio.sleep(OBSERVED_S)
    is_over.set()
    await asyncio.gather(*senders)
    bound_s = confirmed_s + APPLY_S
    late = [each for each in old.runs if sent[each[0]] > bound_s]
    late_key = [each for each in late if DROPPED_KEY in each[0]]
    dropped = [each for each in new.runs if DROPPED_KEY in each[0]]
    last_s = max((sent[each[0]] for each in late), default=confirmed_s) - confirmed_s
    in_force = sum(sent[each[0]] > bound_s for each in new.runs)
    record.say(
        f"sent over {APPLY_S:.0f} s after the confirmation: {len(late)} requests ran at"
        f" the old service, {len(late_key)} of them with the dropped key, the last one"
        f" sent {last_s:.2f} s after it; {in_force} ran at the new service"
    )
    if not in_force:
        raise stand.CaseError("no request ran at the new service")
    return not late and not dropped


stand.run_case(run, FOLDER)
