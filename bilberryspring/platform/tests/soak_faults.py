"""Faults that a soak run injects from outside the routers."""

import asyncio
import signal

import aiohttp
from aiohttp import web

from bilberryspring.platform.tests.soak_answers import ANSWER_FAULTS
from bilberryspring.platform.tests.soak_harness import (
    POOLS,
    READINESS_CHECK_INTERVAL_S,
    ROUTER_COUNT,
    RouterStop,
    ServerRemoval,
)
from bilberryspring.standin.proxy_faults import ProxyFaults, ProxyMode

__all__ = ["FAULT_INJECTORS", "RESTORATION_INJECTORS"]

FAULT_INJECTORS = []


def fault_injector(inject):
    FAULT_INJECTORS.append(inject)
    return inject


def _choose_router(harness):
    """Return the number of a running router, or ``None`` if it is the last one."""
    running = [n for n in range(ROUTER_COUNT) if not harness.nodes[n].is_down]
    return harness.rng.choice(running) if len(running) > 1 else None


async def _restart_router(harness, number):
    node = harness.nodes[number]
    await asyncio.sleep(harness.rng.uniform(0.0, 1.0))
    node.generation += 1
    await node.session.close()
    node.session = aiohttp.ClientSession()
    await node.router.start()
    await node.router.wait_ready()
    node.is_down = False


@fault_injector
async def kill_router(harness):
    number = _choose_router(harness)
    if number is None:
        return
    node = harness.nodes[number]
    node.is_down, node.is_ready = True, False
    injected_fault = harness.record_fault("kill", number, 60.0)
    node.router.process.kill()
    await node.router.process.wait()
    await _restart_router(harness, number)
    injected_fault.finished_s = harness.now_s() + 0.5


@fault_injector
async def stop_router(harness):
    number = _choose_router(harness)
    if number is None:
        return
    node = harness.nodes[number]
    node.is_down, started_s = True, harness.now_s()
    node.router.process.send_signal(signal.SIGTERM)
    # The load balancer notices after two readiness checks. Callers continue to use open
    # connections.
    await asyncio.sleep(2 * READINESS_CHECK_INTERVAL_S)
    node.is_ready = False
    exit_code = await node.router.process.wait()
    harness.router_stops.append(
        RouterStop(number, node.generation, started_s, harness.now_s(), exit_code)
    )
    await _restart_router(harness, number)


@fault_injector
async def freeze_router(harness):
    number = _choose_router(harness)
    if number is None:
        return
    node, duration_s = harness.nodes[number], harness.rng.uniform(0.3, 2.5)
    node.is_down = True
    injected_fault = harness.record_fault("freeze", number, duration_s + 1.0)
    node.router.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    node.router.process.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    injected_fault.finished_s = harness.now_s()
    node.is_down = False


@fault_injector
async def lose_store(harness):
    duration_s = harness.rng.uniform(0.3, 2.5)
    injected_fault = harness.record_fault("store", "all", duration_s + 1.0)
    responses = (web.Response(status=503), web.Response(status=429), "silent")
    response = harness.rng.choice(responses)
    status = getattr(response, "status", 0)
    harness.store.fault = lambda _: web.Response(status=status) if status else response
    await asyncio.sleep(duration_s)
    harness.store.fault = lambda _: None
    await asyncio.sleep(1.0)
    injected_fault.finished_s = harness.now_s()


@fault_injector
async def compact_history(harness):
    harness.store.oldest_revision = harness.store.revision + 1
    await asyncio.sleep(0)


@fault_injector
async def disconnect_router_from_store(harness):
    number, duration_s = (
        harness.rng.randrange(ROUTER_COUNT),
        harness.rng.uniform(0.3, 2.5),
    )
    modes = (ProxyMode.CUT, ProxyMode.FREEZE, ProxyMode.SILENT, ProxyMode.DROP_UPSTREAM)
    harness.nodes[number].store_proxy.set_faults(
        ProxyFaults(mode=harness.rng.choice(modes))
    )
    await asyncio.sleep(duration_s)
    harness.nodes[number].store_proxy.set_faults(ProxyFaults())


@fault_injector
async def slow_store_of_router(harness):
    number = harness.rng.randrange(ROUTER_COUNT)
    harness.nodes[number].store_proxy.set_faults(ProxyFaults(delay_s=0.2))
    await asyncio.sleep(harness.rng.uniform(0.5, 2.0))
    harness.nodes[number].store_proxy.set_faults(ProxyFaults())


def _choose_server(harness):
    """Return a listed server, or ``None`` if it is the last one of its pool."""
    listed = [server for server in harness.servers.values() if not server.is_removed]
    chosen = harness.rng.choice(listed)
    pool_servers = [server for server in listed if server.pool == chosen.pool]
    return chosen if len(pool_servers) > 1 else None


async def disturb_server_connection(harness):
    server, duration_s = _choose_server(harness), harness.rng.uniform(0.2, 2.0)
    if server is None:
        return
    faults = (
        ProxyFaults(mode=ProxyMode.CUT),
        ProxyFaults(mode=ProxyMode.FREEZE),
        ProxyFaults(mode=ProxyMode.DROP_DOWNSTREAM),
        ProxyFaults(cut_after_bytes_down=harness.rng.randrange(200)),
        ProxyFaults(cut_after_bytes_down=harness.rng.randrange(300, 2000)),
        ProxyFaults(delay_s=0.3),
    )
    injected_fault = harness.record_fault("server", server.server_id, duration_s + 0.5)
    server.proxy.set_faults(harness.rng.choice(faults))
    await asyncio.sleep(duration_s)
    server.proxy.set_faults(ProxyFaults())
    injected_fault.finished_s = harness.now_s() + 0.5


async def break_server_answers(harness):
    server, duration_s = _choose_server(harness), harness.rng.uniform(0.3, 1.5)
    answer_fault = harness.rng.choice(ANSWER_FAULTS)
    if server is None:
        return
    injected_fault = harness.record_fault("server", server.server_id, duration_s + 0.5)
    server.answer_fault = answer_fault
    await asyncio.sleep(duration_s)
    server.answer_fault = None
    injected_fault.finished_s = harness.now_s() + 0.5


# Only few of the faults of a server lose requests in progress, so they are injected
# often.
FAULT_INJECTORS += 3 * [disturb_server_connection, break_server_answers]


@fault_injector
async def replace_server(harness):
    server = _choose_server(harness)
    if server is None:
        return
    server.is_removed = True
    await harness.add_server(server.pool)
    key = f"servers/{server.server_id}"
    if harness.rng.random() < 0.7:
        await harness.store.put(key, server.make_proxied_entry(state="draining"))
        harness.server_removals.append(ServerRemoval(server.server_id, harness.now_s()))
        await asyncio.sleep(harness.rng.uniform(0.5, 2.0))
        await harness.store.put(key, None)
    else:
        await harness.store.put(key, None)
        harness.server_removals.append(ServerRemoval(server.server_id, harness.now_s()))


@fault_injector
async def change_configuration(harness):
    for _ in range(harness.rng.choice((1, 1, 4))):
        last_pool = harness.configuration_changes[-1].pool
        await harness.put_configuration(POOLS[last_pool == POOLS[0]])
        await asyncio.sleep(harness.rng.uniform(0.05, 0.4))


async def restore_store(harness):
    store, rng = harness.store, harness.rng
    copy = store.copy()
    await asyncio.sleep(rng.uniform(0.3, 2.5))
    injected_fault = harness.record_fault("restored", "all", 60.0)
    is_silent = rng.random() < 0.5
    store.fault = lambda _: "silent" if is_silent else web.Response(status=503)
    await asyncio.sleep(rng.uniform(0.05, 0.6))
    store.refuses_later_revisions = rng.random() < 0.5
    former_revision = store.revision
    await store.restore(copy)
    await store.put("op/config", harness.configuration)
    if rng.random() < 0.5:
        # Routers call again when the store has passed the revision that they know.
        await change_configuration(harness)
        while store.revision <= former_revision:
            await store.put("op/unrelated", b"")
    store.fault = lambda _: None
    await harness.write_lost_servers_again()
    injected_fault.finished_s = harness.now_s()


# Kept apart from the other faults, so that earlier seeds still determine these.
RESTORATION_INJECTORS = [*FAULT_INJECTORS, *4 * [restore_store]]
