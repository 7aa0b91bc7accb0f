import asyncio
import socket
import struct

import pytest

from bilberryspring.connection.http_backend import (
    BrokenConnection,
    ConnectionFailureKind,
    open_connection,
)

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nContent-Length: 2\r\n\r\nhi"


async def serve(script):
    """Start a server that runs a script for each connection."""

    async def handle(reader, writer):
        await reader.read(100)
        await script(writer)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


async def ask(script):
    server, port = await serve(script)
    connection = await open_connection("127.0.0.1", port, 1.0)
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    return server, connection


async def read_all(connection):
    head = await connection.read_head()
    chunks = []
    while not isinstance(head, BrokenConnection):
        chunk = await connection.read_chunk()
        if chunk is None or isinstance(chunk, BrokenConnection):
            return head, b"".join(chunks), chunk
        chunks.append(chunk)
    return head, b"", head


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def test_a_whole_answer_leaves_the_connection_usable():
    ended = asyncio.Event()

    async def script(writer):
        writer.write(OK % b"1")
        await ended.wait()

    server, connection = await ask(script)
    head, body, end = await read_all(connection)
    assert (head.status, body, end) == (200, b"hi", None)
    assert connection.is_reusable
    ended.set()
    server.close()


async def test_a_second_answer_makes_the_connection_unusable():
    async def script(writer):
        writer.write(OK % b"1" + OK % b"0")
        await asyncio.sleep(0.2)

    server, connection = await ask(script)
    _, body, _ = await read_all(connection)
    assert body == b"hi"
    await asyncio.sleep(0.05)
    assert not connection.is_reusable
    server.close()


async def test_answers_come_in_order_with_the_ids_that_they_bear():
    async def script(writer):
        writer.write(OK % b"late" + OK % b"own")
        await asyncio.sleep(0.2)

    server, connection = await ask(script)
    late = await connection.read_head()
    own = await connection.read_head()
    assert late.find(b"attempt-id") == b"late"
    assert own.find(b"attempt-id") == b"own"
    assert await connection.read_chunk() == b"hi"
    server.close()


@pytest.mark.parametrize(
    ("how", "expected"), [("close", None), ("reset", ConnectionFailureKind.RESET)]
)
async def test_a_body_without_length_is_whole_only_if_it_was_closed(how, expected):
    async def script(writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.05)
        if how == "reset":
            reset(writer)

    server, connection = await ask(script)
    _, body, end = await read_all(connection)
    assert body == b"abc"
    assert (end if end is None else end.kind) == expected
    assert not connection.is_reusable
    server.close()


async def test_a_body_that_ends_early_is_broken():
    async def script(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")

    server, connection = await ask(script)
    _, _, end = await read_all(connection)
    assert end.kind is ConnectionFailureKind.CLOSED
    server.close()


async def test_bytes_that_are_no_answer_are_garbled():
    async def script(writer):
        writer.write(b"\x00\x01 no answer\r\n\r\n")
        await asyncio.sleep(0.2)

    server, connection = await ask(script)
    broken = await connection.read_head()
    assert broken.kind is ConnectionFailureKind.MALFORMED
    assert not connection.is_reusable
    server.close()


async def test_an_informational_answer_is_skipped():
    async def script(writer):
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + OK % b"1")
        await asyncio.sleep(0.2)

    server, connection = await ask(script)
    head, body, _ = await read_all(connection)
    assert (head.status, body) == (200, b"hi")
    server.close()


async def test_no_listener_means_that_nothing_was_sent():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    broken = await open_connection("127.0.0.1", port, 0.5)
    assert broken.kind is ConnectionFailureKind.UNREACHABLE
