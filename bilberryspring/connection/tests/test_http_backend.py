"""HTTP connections to backend servers.

Guards against a truncated response that counts as complete, and against the reuse of a
connection on which unread bytes of another response remain.
"""

import asyncio
import os
import socket
import struct

import pytest
import uvloop

from bilberryspring.capability.backend_calls import Excess
from bilberryspring.connection.http_backend import (
    MAX_HEADERS,
    READ_HIGH_WATER_BYTES,
    ConnectionFailure,
    ConnectionFailureKind,
    open_connection,
)
from bilberryspring.connection.tests.stream_server import (
    make_stream_server,
    serve_streams,
)

OK = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nContent-Length: 2\r\n\r\nhi"


@pytest.fixture
async def send_request():
    """Send a request to a server that responds to it with `write_response`.

    The connection and the server are closed after the test.
    """
    opened = []

    async def send(write_response):
        async def handle(reader, writer):
            await reader.read(100)
            await write_response(writer)
            writer.close()

        server = make_stream_server(handle)
        connection = await open_connection(*await server.start(), 1.0)
        opened.append((server, connection))
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        return connection

    yield send
    for server, connection in opened:
        connection.close()
        await server.close()


async def read_all(connection):
    head = await connection.read_head()
    chunks = []
    while not isinstance(head, ConnectionFailure):
        chunk = await connection.read_chunk()
        if chunk is None or isinstance(chunk, ConnectionFailure):
            return head, b"".join(chunks), chunk
        chunks.append(chunk)
    return head, b"", head


def reset_connection(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def test_connection_is_reusable_after_a_complete_response(send_request):
    ended = asyncio.Event()

    async def write_response(writer):
        writer.write(OK % b"1")
        await ended.wait()

    connection = await send_request(write_response)
    head, body, end = await read_all(connection)
    assert (head.status, body, end) == (200, b"hi", None)
    assert connection.is_reusable
    ended.set()


async def test_connection_is_not_reusable_after_an_extra_response(send_request):
    async def write_response(writer):
        writer.write(OK % b"1" + OK % b"0")
        await asyncio.sleep(0.2)

    connection = await send_request(write_response)
    _, body, _ = await read_all(connection)
    assert body == b"hi"
    await asyncio.sleep(0.05)
    assert not connection.is_reusable


async def test_responses_are_read_in_order_with_their_headers(send_request):
    async def write_response(writer):
        writer.write(OK % b"late" + OK % b"own")
        await asyncio.sleep(0.2)

    connection = await send_request(write_response)
    late = await connection.read_head()
    own = await connection.read_head()
    assert late.find_header(b"attempt-id") == b"late"
    assert own.find_header(b"attempt-id") == b"own"
    assert await connection.read_chunk() == b"hi"


@pytest.mark.parametrize(
    ("ending", "expected"), [("close", None), ("reset", ConnectionFailureKind.RESET)]
)
async def test_close_delimited_body_is_complete_only_without_a_reset(
    send_request, ending, expected
):
    async def write_response(writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.05)
        if ending == "reset":
            reset_connection(writer)

    connection = await send_request(write_response)
    _, body, end = await read_all(connection)
    assert body == b"abc"
    assert (end if end is None else end.kind) == expected
    assert not connection.is_reusable


async def test_truncated_body_fails_with_a_closed_connection(send_request):
    async def write_response(writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")

    connection = await send_request(write_response)
    _, _, end = await read_all(connection)
    assert end.kind is ConnectionFailureKind.CLOSED


async def test_bytes_that_are_not_http_are_malformed(send_request):
    async def write_response(writer):
        writer.write(b"\x00\x01 no answer\r\n\r\n")
        await asyncio.sleep(0.2)

    connection = await send_request(write_response)
    failure = await connection.read_head()
    assert failure.kind is ConnectionFailureKind.MALFORMED
    assert not connection.is_reusable


async def test_informational_response_is_skipped(send_request):
    async def write_response(writer):
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + OK % b"1")
        await asyncio.sleep(0.2)

    connection = await send_request(write_response)
    head, body, _ = await read_all(connection)
    assert (head.status, body) == (200, b"hi")


async def test_connecting_without_a_listener_is_unreachable():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    failure = await open_connection("127.0.0.1", port, 0.5)
    assert failure.kind is ConnectionFailureKind.UNREACHABLE


OK_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# First bytes of a response, and bytes that are then sent without end.
ENDLESS_RESPONSES = {
    "status-line": (b"HTTP/1.1 200 ", b"x" * 1000),
    "header-line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 1000),
    "header-name": (b"HTTP/1.1 200 OK\r\n", b"x" * 1000),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n" * 100),
    "interim-responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 40),
    "chunk-size": (OK_CHUNKED, b"0" * 1000),
    "chunk-extension": (OK_CHUNKED + b"1;", b"x" * 1000),
    "trailer": (OK_CHUNKED + b"0\r\n", b"X-More: y\r\n" * 100),
    "spaces": (b"HTTP/1.1 200 OK\r\nX-Space:", b" " * 1000),
    "not-http": (b"", b"\xff" * 1000),
}


@pytest.mark.parametrize("name", ENDLESS_RESPONSES)
@pytest.mark.parametrize("pause_s", [0.0, 0.001])
async def test_bytes_without_end_close_the_connection(send_request, name, pause_s):
    begin, more = ENDLESS_RESPONSES[name]
    sent_bytes = 0
    closed = asyncio.Event()

    async def write_response(writer):
        nonlocal sent_bytes
        writer.write(begin)
        try:
            while True:
                writer.write(more)
                sent_bytes += len(more)
                await writer.drain()
                await asyncio.sleep(pause_s)
        except ConnectionError:
            closed.set()

    connection = await send_request(write_response)
    async with asyncio.timeout(5):
        _, body, end = await read_all(connection)
        await closed.wait()
    assert isinstance(end, ConnectionFailure)
    assert end.kind is ConnectionFailureKind.MALFORMED
    assert not body
    # The sockets' buffers hold some megabytes that the connection never reads.
    assert sent_bytes < 8_000_000


async def test_body_of_another_response_without_end_closes_the_connection(send_request):
    async def write_response(writer):
        writer.write(OK_CHUNKED)
        try:
            while True:
                writer.write(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
                await writer.drain()
        except ConnectionError:
            pass

    connection = await send_request(write_response)
    async with asyncio.timeout(5):
        assert (await connection.read_head()).status == 200
        # The head was that of another response, so the next one is awaited.
        end = await connection.read_head()
    assert isinstance(end, ConnectionFailure)
    assert end.kind is ConnectionFailureKind.MALFORMED


async def test_chunks_of_one_byte_are_a_sound_body(send_request):
    async def write_response(writer):
        writer.write(OK_CHUNKED + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n")
        await writer.drain()

    connection = await send_request(write_response)
    head, body, end = await read_all(connection)
    assert (head.status, len(body), end) == (200, 50_000, None)


async def exchange(respond, body=b"", reads_body=False):
    """Send a request and read the response.

    :param reads_body: whether the server reads the body after it has responded.
    :returns: head or failure, body, and ``None`` at its end or a failure.
    """

    async def read_head_and_respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await respond(writer)
        if reads_body:
            await reader.readexactly(len(body))

    async with serve_streams(read_head_and_respond) as port, asyncio.timeout(5):
        connection = await open_connection("127.0.0.1", port, 1.0)
        connection.send(b"POST / HTTP/1.1\r\n\r\n" + body)
        response = await read_all(connection)
        connection.close()
        return response


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize(
    ("ending", "unread_bytes", "expected"),
    [
        ("close", 0, None),
        ("close", 40_000, None),
        ("close-after-reading", 12_000_000, None),
        # The whole request was sent, and the body had ended.
        ("half-close-then-reset", 0, None),
        ("half-close-then-reset", 40_000, None),
        # More than the buffers of both sockets.
        ("half-close-then-reset", 12_000_000, ConnectionFailureKind.RESET),
        ("reset", 0, ConnectionFailureKind.RESET),
        ("reset", 40_000, ConnectionFailureKind.RESET),
        ("reset", 4_000_000, ConnectionFailureKind.RESET),
        ("reset", 12_000_000, ConnectionFailureKind.RESET),
    ],
)
def test_end_of_a_body_without_length_is_told_from_a_reset(
    run, ending, expected, unread_bytes
):
    async def respond(writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
        await writer.drain()
        await asyncio.sleep(0.05)
        if ending != "reset":
            writer.write_eof()
            # Closing with unread bytes resets the connection.
            await asyncio.sleep(0.5 if ending == "close" else 0.05)
        if ending in ("half-close-then-reset", "reset"):
            reset_connection(writer)

    reads_body = ending == "close-after-reading"
    _, body, end = run(exchange(respond, b"x" * unread_bytes, reads_body))
    assert body == b"abc"
    assert (end if end is None else end.kind) == expected


async def test_body_without_length_is_not_complete_when_this_side_closes():
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
        await reader.read()

    async with serve_streams(respond) as port, asyncio.timeout(5):
        connection = await open_connection("127.0.0.1", port, 1.0)
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        assert (await connection.read_head()).status == 200
        assert await connection.read_chunk() == b"abc"
        reading = asyncio.create_task(connection.read_chunk())
        await asyncio.sleep(0.05)
        connection.close()
        assert isinstance(await reading, ConnectionFailure)


async def test_unread_body_without_end_is_not_held_in_memory():
    sent_bytes = 0
    closed = asyncio.Event()

    async def respond(reader, writer):
        nonlocal sent_bytes
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while True:
                writer.write(b"x" * 65_536)
                sent_bytes += 65_536
                await writer.drain()
        except ConnectionError:
            closed.set()

    async with serve_streams(respond) as port, asyncio.timeout(5):
        connection = await open_connection("127.0.0.1", port, 1.0)
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        assert (await connection.read_head()).status == 200
        await asyncio.sleep(0.3)
        held_bytes = sum(len(part) for part in connection._received_parts)
        # The socket's buffers hold some megabytes that the connection never reads.
        assert held_bytes <= READ_HIGH_WATER_BYTES + 1024 * 1024
        assert sent_bytes < 32_000_000
        connection.close()
        await closed.wait()


FRAMED_RESPONSES = [
    OK % b"1",
    OK_CHUNKED + b"2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n",
    OK_CHUNKED + b"2\r\nhi\r\n0\r\nX-Sum: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + OK % b"1",
]


@pytest.mark.parametrize("response", FRAMED_RESPONSES)
async def test_response_that_is_cut_anywhere_is_never_complete(response):
    for cut in range(len(response)):

        async def respond(writer, cut=cut):
            writer.write(response[:cut])

        _, _, end = await exchange(respond)
        assert isinstance(end, ConnectionFailure), response[:cut]


async def test_head_that_is_cut_anywhere_is_no_response():
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Seal: s\r\n\r\n"
    for cut in range(len(head)):

        async def respond(writer, cut=cut):
            writer.write(head[:cut])

        found, _, _ = await exchange(respond)
        assert isinstance(found, ConnectionFailure), head[:cut]


@pytest.mark.parametrize("count", [MAX_HEADERS, MAX_HEADERS + 1])
@pytest.mark.parametrize("is_interim", [False, True])
async def test_headers_are_limited_in_number(count, is_interim):
    async def respond(writer):
        headers = b"a: b\r\n" * (count - 2)
        interim = b"HTTP/1.1 103 Hints\r\n%b\r\n" % headers if is_interim else b""
        writer.write(interim + b"HTTP/1.1 200 OK\r\n")
        writer.write(b"" if is_interim else headers)
        writer.write(b"c: d\r\nContent-Length: 2\r\n\r\nhi")

    head, body, _ = await exchange(respond)
    if count == MAX_HEADERS:
        assert (head.status, body) == (200, b"hi")
    else:
        assert head.excess is Excess.HEAD


async def read_until_closed(reader, writer):
    await reader.read()


def count_descriptors():
    return len(os.listdir("/proc/self/fd"))


async def open_and_leave(turns, connections):
    """Open a connection, and leave after some turns of the event loop."""
    server = make_stream_server(read_until_closed)
    host, port = await server.start()
    task = asyncio.create_task(
        open_connection(host, port, 1.0, connections=connections)
    )
    for _ in range(turns):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    is_cancelled = task.cancelled()
    if not is_cancelled:
        task.result().close()
    await server.close()
    return is_cancelled


# Guards against connections that count as open forever, since their opening was
# cancelled after the socket stood; at the limit of sockets all callers were refused.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_opening_that_is_cancelled_leaves_no_connection(run):
    async def leave_at_each_turn():
        connections = set()
        await open_and_leave(100, connections)
        descriptors = count_descriptors()
        outcomes = [await open_and_leave(turns, connections) for turns in range(12)]
        assert {True, False} <= {*outcomes}
        async with asyncio.timeout(2.0):
            while connections or count_descriptors() > descriptors:
                await asyncio.sleep(0.01)

    run(leave_at_each_turn())


# As above, for an opening that is not in time.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_opening_that_times_out_leaves_no_connection(run):
    async def open_late():
        server = make_stream_server(read_until_closed)
        host, port = await server.start()
        connections = set()
        results = []
        for microseconds in range(0, 1000, 20):
            timeout_s = microseconds / 1e6
            results.append(
                await open_connection(host, port, timeout_s, connections=connections)
            )
        failed = [each for each in results if isinstance(each, ConnectionFailure)]
        opened = [each for each in results if each not in failed]
        assert failed and opened
        assert connections == {*opened}
        for each in opened:
            each.close()
        async with asyncio.timeout(2.0):
            while connections:
                await asyncio.sleep(0.01)
        await server.close()

    run(open_late())
