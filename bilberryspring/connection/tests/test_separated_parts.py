"""Splitting of a stream into parts that end with a separator.

Guards against work that grows with the square of a part, and against a part without
end that fills the memory.
"""

import asyncio
import time

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from bilberryspring.connection.separated_parts import (
    PartTooLongError,
    make_separated_parts,
)
from bilberryspring.platform import keyvalue_gateway
from bilberryspring.platform.keyvalue import make_key_value_client
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.request.errors import Failure

MAX_BYTES = 1024 * 1024


@pytest.mark.parametrize("separator", [b"\n", b"\n\n", b"abc"])
@pytest.mark.parametrize("size", [1, 2, 3, 5, 100])
def test_parts_do_not_depend_on_the_pieces(separator, size):
    stream = separator.join([b"one", b"", b"two ab", b"\nx", b"rest"])
    parts, found = make_separated_parts(separator, MAX_BYTES), []
    for start in range(0, len(stream), size):
        found += parts.feed(stream[start : start + size])
    assert found == stream.split(separator)[:-1]


def test_work_is_linear_in_the_length_of_a_part():
    parts = make_separated_parts(b"\n", MAX_BYTES)
    started_s = time.thread_time()
    for _ in range(MAX_BYTES // 16):
        assert parts.feed(b"x" * 16) == []
    assert parts.feed(b"\n") == [b"x" * MAX_BYTES]
    assert time.thread_time() - started_s < 0.5


def test_part_without_end_is_an_error():
    parts = make_separated_parts(b"\n", 1000)
    assert parts.feed(b"x" * 999 + b"\n" + b"y" * 1000) == [b"x" * 999]
    with pytest.raises(PartTooLongError):
        parts.feed(b"y")


@pytest.fixture
async def serve_without_end(monkeypatch):
    """Serve a body without end on every path; return a client of that service."""
    monkeypatch.setattr(keyvalue_gateway, "MAX_REPLY_BYTES", MAX_BYTES)
    sent_bytes = 0

    async def respond(request):
        nonlocal sent_bytes
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"x" * 65_536)
            sent_bytes += 65_536

    application = web.Application()
    application.router.add_route("*", "/{path:.*}", respond)
    async with TestServer(application) as server:
        address = f"{server.host}:{server.port}"
        client = make_key_value_client([address], 5.0, make_ledger())
        await client.start()
        yield client, lambda: sent_bytes
        await client.close()


async def test_reply_and_line_of_a_store_without_end_are_failures(serve_without_end):
    client, read_sent_bytes = serve_without_end
    async with asyncio.timeout(4.0):
        reply = await client.get("k", mechanism=ControlMechanism.CLAIMS)
        assert isinstance(reply, Failure)
        watch = client.watch(
            "k", 0, mechanism=ControlMechanism.CLAIMS, idle_timeout_s=2.0
        )
        assert isinstance(await anext(watch), Failure)
        await watch.aclose()
    # The sockets' buffers hold some megabytes of each of the three calls.
    assert read_sent_bytes() < 60 * MAX_BYTES
