"""Tests of requests that wait, run or arrive while the configuration changes.

The caller's record and the server's journal decide: a request that was read gets a
response, and one that ran gets the server's.
"""

import asyncio

import aiohttp
import pytest

from bilberryspring.connection.tests.stream_server import serve_streams
from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.platform.tests.test_front_router import deployment, send_request

__all__ = ["deployment"]

MANY_ROUTES = 1400
SERVICE_S = 0.9


def change_orders(**changes):
    orders, *others = CONFIGURATION["routes"]
    return {"routes": [{**orders, **changes}, *others]}


def change_limits(**changes):
    return {"limits": {**CONFIGURATION["limits"], **changes}}


def add_routes():
    routes = CONFIGURATION["routes"]
    added = [
        {**routes[0], "name": f"more{number}", "prefix": f"/more{number}/"}
        for number in range(MANY_ROUTES)
    ]
    return {"routes": [*routes, *added]}


CHANGES = {
    "route-removed": {"routes": CONFIGURATION["routes"][1:]},
    "service-removed": {
        **change_orders(service="other"),
        "services": [*CONFIGURATION["services"], {"name": "other", "maxConns": 10}],
    },
    "key-removed": {"tenants": [{"name": "ward", "apiKeys": ["k9"]}]},
    "time-limit-shorter": change_orders(timeoutMs=200),
    "time-limit-longer": change_orders(timeoutMs=9000),
    "weights-zero": change_orders(split=[{"service": "desk", "weight": 0}]),
    "body-limit-shorter": change_limits(maxBodyBytes=1, maxHeaderBytes=64),
    "times-shorter": change_limits(headerTimeoutMs=50, idleTimeoutMs=50),
    "many-routes": add_routes(),
}


async def apply_change(deployment, router, version, change):
    """Put a version of the configuration and wait until the router has adopted it."""
    await deployment.store.put(
        "op/config", {**CONFIGURATION, **change, "version": version}
    )
    async with asyncio.timeout(5):
        while f"adopted version={version}" not in router.log_path.read_text():
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("name", CHANGES)
async def test_change_ends_no_request_that_runs_or_waits(deployment, name):
    entry = deployment.server.make_entry(slots=1)
    await deployment.store.put("servers/s1", entry)
    deployment.server.delay_s = SERVICE_S / 2
    router = await deployment.add_router()
    await router.wait_ready()
    async with aiohttp.ClientSession() as session:
        pending = []
        for number in range(2):
            request_id = f"o{number}"
            pending.append(
                asyncio.create_task(
                    send_request(session, router, "/orders/x", request_id=request_id)
                )
            )
            await asyncio.sleep(0.05)
        await apply_change(deployment, router, 4, CHANGES[name])
        statuses = [status for status, _, _ in await asyncio.gather(*pending)]
    assert statuses == [200, 200]
    assert len(deployment.server.executed) == 2


def encode_request(request_id, body, head=b""):
    return (
        b"POST /orders/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n"
        b"Deadline-Ms: 3000\r\nAttempt-Id: %b\r\nContent-Length: %d\r\n%b\r\n"
        % (request_id.encode(), len(body), head)
    )


async def read_response(reader):
    """Return the status and the body of a response."""
    async with asyncio.timeout(5):
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length")
        )
        return int(head.split()[1]), await reader.readexactly(length)


@pytest.mark.parametrize(
    ("former_ms", "new_ms"), [(1000, 5000), (5000, 1000)], ids=["longer", "shorter"]
)
async def test_connection_that_is_idle_at_a_change_serves_the_next_request(
    deployment, former_ms, new_ms
):
    former = change_limits(idleTimeoutMs=former_ms)
    await deployment.store.put("op/config", {**CONFIGURATION, **former, "version": 4})
    router = await deployment.add_router()
    await router.wait_ready()
    reader, writer = await asyncio.open_connection(router.ip, router.port)
    writer.write(encode_request("a1", b"one") + b"one")
    assert await read_response(reader) == (200, b"done one")
    await apply_change(deployment, router, 5, change_limits(idleTimeoutMs=new_ms))
    await asyncio.sleep(1.5)
    writer.write(encode_request("a2", b"two") + b"two")
    assert await read_response(reader) == (200, b"done two")
    writer.close()


async def test_keep_alive_time_of_a_server_is_not_announced_to_callers(deployment):
    # It would hold for the caller's connection, whose limit another change may shorten.
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: seal\r\n"
            b"Keep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nhi"
        )

    async with serve_streams(respond) as port, aiohttp.ClientSession() as session:
        entry = deployment.server.make_entry(address=f"127.0.0.1:{port}")
        await deployment.store.put("servers/s1", entry)
        router = await deployment.add_router()
        await router.wait_ready()
        status, headers, _ = await send_request(session, router, "/orders/x")
    assert status == 200 and "Keep-Alive" not in headers


async def test_body_in_parts_outlasts_a_change_to_shorter_times(deployment):
    router = await deployment.add_router()
    await router.wait_ready()
    reader, writer = await asyncio.open_connection(router.ip, router.port)
    writer.write(encode_request("a1", b"12345"))
    await apply_change(deployment, router, 4, CHANGES["times-shorter"])
    for part in (b"1", b"2", b"3", b"4", b"5"):
        writer.write(part)
        await asyncio.sleep(0.1)
    assert await read_response(reader) == (200, b"done 12345")
    writer.close()


async def test_pipelined_requests_are_all_answered_across_a_change(deployment):
    deployment.server.delay_s = 0.3
    router = await deployment.add_router()
    await router.wait_ready()
    reader, writer = await asyncio.open_connection(router.ip, router.port)
    for number in range(4):
        writer.write(encode_request(f"a{number}", b"x") + b"x")
    # The first request is read before the change.
    async with asyncio.timeout(5):
        while not deployment.server.executed:
            await asyncio.sleep(0.01)
    await apply_change(deployment, router, 4, CHANGES["route-removed"])
    statuses = [(await read_response(reader))[0] for _ in range(4)]
    writer.close()
    assert statuses == sorted(statuses) and set(statuses) <= {200, 404}
    assert statuses.count(200) == len(deployment.server.executed) >= 1


async def test_every_request_beside_a_storm_of_large_changes_gets_a_response(
    deployment,
):
    entry = deployment.server.make_entry(slots=100)
    await deployment.store.put("servers/s1", entry)
    router = await deployment.add_router()
    await router.wait_ready()
    statuses, is_over = {}, asyncio.Event()

    async def send_all_through(caller):
        async with aiohttp.ClientSession() as session:
            for number in range(1_000_000):
                if is_over.is_set():
                    return
                request_id = f"c{caller}-{number}"
                # A second try of the client would hide a lost request.
                headers = {"Connection": "close"} if number % 5 == 4 else {}
                response = await send_request(
                    session, router, "/orders/x", request_id=request_id, **headers
                )
                statuses[request_id] = response[0]
                await asyncio.sleep(0.005 * caller)

    callers = [asyncio.create_task(send_all_through(caller)) for caller in range(8)]
    changes = [add_routes(), {}, CHANGES["time-limit-longer"], add_routes()]
    for version in range(4, 20):
        change = changes[version % len(changes)]
        await deployment.store.put(
            "op/config", {**CONFIGURATION, **change, "version": version}
        )
        await asyncio.sleep(0.2)
    is_over.set()
    await asyncio.gather(*callers)
    assert set(statuses.values()) == {200}
    executed = [
        request.headers["Attempt-Id"] for request, _ in deployment.server.executed
    ]
    assert sorted(executed) == sorted(statuses)
    assert "event=configuration_adopted version=19" in router.log_path.read_text()
