"""Frames of a handshake, whose sender is not authenticated yet.

Guards against a process without the fleet's secret that makes this one hold memory.
"""

import asyncio

import pytest

from bilberryspring.connection.authentication import authenticate_as_listener
from bilberryspring.connection.frames import (
    MAX_FRAME_BYTES,
    MAX_HANDSHAKE_FRAME_BYTES,
)
from bilberryspring.connection.messages import Hello
from bilberryspring.connection.tests.stream_server import serve_streams
from bilberryspring.request.errors import ErrorKind


@pytest.mark.parametrize("size_bytes", [MAX_HANDSHAKE_FRAME_BYTES + 1, MAX_FRAME_BYTES])
async def test_large_frame_of_a_handshake_is_refused_before_it_is_read(size_bytes):
    results = asyncio.Queue()

    async def respond(reader, writer):
        hello = Hello(instance_id="a")
        results.put_nowait(
            await authenticate_as_listener(reader, writer, "secret", hello)
        )

    async with serve_streams(respond) as port, asyncio.timeout(2.0):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(size_bytes.to_bytes(4, "little"))
        failure = await results.get()
        writer.transport.abort()
    assert failure.kind is ErrorKind.UNAUTHENTICATED
