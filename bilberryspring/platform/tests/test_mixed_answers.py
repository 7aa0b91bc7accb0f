"""What a server in trouble sends is not shown to callers as a complete answer.

Guards against the part of an answer without length whose connection is reset while the
request is still being sent, and against statuses that are none.
"""

import asyncio
import copy

import aiohttp
import pytest

from bilberryspring.connection.tests.early_answers import (
    ENDINGS,
    LARGE_BYTES,
    PART,
    SMALL_BYTES,
    make_early_answer,
)
from bilberryspring.connection.tests.stream_server import make_stream_server
from bilberryspring.platform.tests.platform_standin import CONFIGURATION
from bilberryspring.platform.tests.test_front_router import deployment, make_headers
from bilberryspring.standin.addresses import make_address_block

__all__ = ["deployment"]

MAX_BODY_BYTES = 12_000_000
PATHS = ("/orders/x", "/open/x", "/drafts/x")
ODD_STATUSES = (b"000", b"001", b"099", b"600", b"999")


@pytest.fixture
async def start_router(deployment):
    """Start a router in front of a server with a connection handler of the test."""
    servers, addresses = [], make_address_block()

    async def start(respond, more_ids=()):
        server = make_stream_server(respond)
        servers.append(server)
        _, port = await server.start()
        configuration = copy.deepcopy(CONFIGURATION)
        configuration["limits"]["maxBodyBytes"] = MAX_BODY_BYTES
        await deployment.store.put("op/config", configuration)
        entry = deployment.server.make_entry(address=f"127.0.0.1:{port}")
        await deployment.store.put("servers/s1", entry)
        for server_id in more_ids:
            await deployment.store.put(f"servers/{server_id}", entry)
        router = await deployment.add_router(ip=addresses.take_host())
        await router.wait_ready()
        return router

    yield start
    for server in servers:
        await server.close()
    addresses.close()


async def request(router, path, body, number=0):
    """Return status and body, or None if the answer is visibly incomplete."""
    headers = make_headers(f"m{number}")
    try:
        async with aiohttp.ClientSession() as session:
            async with session.post(
                router.url + path, data=body, headers=headers
            ) as response:
                return response.status, await response.read()
    except aiohttp.ClientError:
        return None


@pytest.mark.parametrize(("ending", "size_bytes"), ENDINGS)
async def test_early_answer_that_is_reset_is_never_complete(
    start_router, ending, size_bytes
):
    router = await start_router(make_early_answer(ending, ["Attempt-Id"]))
    for number, path in enumerate(PATHS):
        answer = await request(router, path, b"x" * size_bytes, number)
        assert answer is None or answer[0] in (502, 504), path


async def test_answer_without_length_after_a_whole_body_is_complete(start_router):
    router = await start_router(make_early_answer("end", ["Attempt-Id"]))
    for number, size_bytes in enumerate((LARGE_BYTES, SMALL_BYTES)):
        answer = await request(router, "/orders/x", b"x" * size_bytes, number)
        assert answer == (200, PART)


@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("path", PATHS)
async def test_status_that_is_none_is_the_servers_failure(start_router, path, status):
    arrivals = []

    async def respond(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.split(b"Attempt-Id: ")[1].split(b"\r\n")[0]
            await reader.readexactly(3)
            arrivals.append(request_id)
            writer.write(
                b"HTTP/1.1 %b Status\r\nAttempt-Id: %b\r\nResponse-Seal: seal\r\n"
                b"Content-Length: 2\r\n\r\nhi" % (status, request_id)
            )

    router = await start_router(respond, ["s2"])
    answer = await request(router, path, b"abc")
    assert answer is not None
    # The request may have run, so nothing promises that it did not.
    assert answer[0] in (502, 504)
    assert b"hi" != answer[1]
    # A second try is made only where the request may be repeated.
    assert len(arrivals) == (1 if path == "/orders/x" else 2)
    assert router.process.returncode is None


@pytest.mark.parametrize("status", [401, 413, 429, 503])
async def test_early_refusal_of_a_long_body_leaves_the_connection_right(
    start_router, status
):
    """No bytes of another request follow where the rest of a body is due."""
    received = []

    async def respond(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(
                line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
            )
            length = int(fields[b"Content-Length"])
            if length > 1000:
                writer.write(
                    b"HTTP/1.1 %d Refused\r\nAttempt-Id: %b\r\nNot-Executed: 1\r\n"
                    b"Response-Seal: seal\r\nContent-Length: 0\r\n\r\n"
                    % (status, fields[b"Attempt-Id"])
                )
                await asyncio.sleep(0.2)
            received.append((fields[b"Attempt-Id"], await reader.readexactly(length)))
            if length <= 1000:
                writer.write(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: seal\r\n"
                    b"Content-Length: 2\r\n\r\nhi" % fields[b"Attempt-Id"]
                )

    router = await start_router(respond)
    for number in range(4):
        size_bytes = LARGE_BYTES if number % 2 == 0 else 10
        body = bytes([97 + number]) * size_bytes
        answer = await request(router, "/orders/x", body, number)
        if number % 2:
            assert answer == (200, b"hi")
    for request_id, body in received:
        expected = bytes([97 + int(request_id[1:])])
        assert body == expected * len(body)
