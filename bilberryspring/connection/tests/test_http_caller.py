"""HTTP connections of callers.

Guards against ambiguous requests, callers that hold a connection without sending, and
an aborted response that looks complete.
"""

import asyncio
import socket
import time
from dataclasses import replace

import pytest
import uvloop

from bilberryspring.capability.routing import CallerLimits
from bilberryspring.connection import http_caller
from bilberryspring.connection.caller_policy import CallerPolicy
from bilberryspring.connection.http_caller import MAX_HEADERS, CallerConnection
from bilberryspring.process.caller_room import make_caller_room
from bilberryspring.process.memory_bound import make_memory_bound


def make_policy(header_s=0.3, idle_s=0.5):
    return CallerPolicy(CallerLimits(500, 100, header_s, idle_s))


class CallerServer:
    """Server of caller connections that records the requests of its handler."""

    def __init__(self, policy=None):
        self.policy = policy or make_policy()
        self.room = make_caller_room(1000)
        self.memory = None
        self.connections = self.room.connections
        self.requests = []
        self.cancelled_count = 0
        self.may_respond = None

    async def handle(self, request, connection):
        self.requests.append(request)
        if request.error_status:
            connection.start_response(request.error_status, "Fault", [], 0)
            return
        if request.target == b"/bodiless":
            connection.start_response(200, "OK", [(b"X", b"y" * 4000)], 0)
            return
        if request.target == b"/slow":
            connection.start_response(200, "OK", [], None)
        if self.may_respond is not None:
            try:
                await self.may_respond.wait()
            except asyncio.CancelledError:
                self.cancelled_count += 1
                raise
        if request.target == b"/slow":
            connection.finish()
            return
        if request.target == b"/defect":
            raise ValueError("defect of the handler")
        if request.target == b"/broken":
            connection.start_response(200, "OK", [], None)
            await connection.write(b"part")
            connection.abort_response()
            return
        connection.start_response(200, "OK", [], len(request.body))
        await connection.write(request.body)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self.handle, self.policy, self.room, self.memory),
            "127.0.0.1",
            0,
        )
        port = self.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)


async def read_until_closed(reader):
    async with asyncio.timeout(3):
        return await reader.read()


async def test_pipelined_requests_are_answered_in_order():
    server = CallerServer()
    reader, writer = await server.start()
    writer.write(
        b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
        b"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        b"Connection: close\r\n\r\n2\r\ntw\r\n1\r\no\r\n0\r\n\r\n"
    )
    data = await read_until_closed(reader)
    assert data.count(b"HTTP/1.1 200") == 2
    assert data.index(b"one") < data.index(b"two")


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked", 400),
        (b"Content-Length: 3\r\nContent-Length: 4", 400),
        (b"Transfer-Encoding: gzip, chunked", 400),
        (b"Content-Length: 101", 413),
        (b"X-Long: " + b"x" * 600, 431),
    ],
)
async def test_ambiguous_or_too_large_requests_are_rejected(head, status):
    server = CallerServer()
    reader, writer = await server.start()
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n\r\nabc")
    data = await read_until_closed(reader)
    assert data.startswith(b"HTTP/1.1 %d" % status)
    assert b"Connection: close" in data
    assert [request.error_status for request in server.requests] == [status]


async def test_chunked_body_is_limited_in_size():
    server = CallerServer()
    reader, writer = await server.start()
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    writer.write((b"32\r\n" + b"x" * 50 + b"\r\n") * 3)
    data = await read_until_closed(reader)
    assert data.startswith(b"HTTP/1.1 413")


async def test_handler_is_cancelled_when_the_caller_disconnects():
    server = CallerServer()
    server.may_respond = asyncio.Event()
    _, writer = await server.start()
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not server.requests:
        await asyncio.sleep(0.01)
    writer.close()
    for _ in range(100):
        if server.cancelled_count:
            break
        await asyncio.sleep(0.01)
    assert server.cancelled_count == 1
    assert not server.connections


async def test_aborted_response_is_detectably_incomplete():
    server = CallerServer()
    reader, writer = await server.start()
    writer.write(b"GET /broken HTTP/1.1\r\nHost: h\r\n\r\n")
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readuntil(b"0\r\n\r\n")


async def test_idle_and_slow_callers_are_disconnected():
    server = CallerServer()
    reader, writer = await server.start()
    assert await read_until_closed(reader) == b""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", server.listener.sockets[0].getsockname()[1]
    )
    writer.write(b"GET / HTTP/1.1\r\nHo")
    assert (await read_until_closed(reader)).startswith(b"HTTP/1.1 408")


async def test_shutdown_completes_pending_responses_and_sends_connection_close():
    server = CallerServer()
    server.may_respond = asyncio.Event()
    reader, writer = await server.start()
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
    while not server.requests:
        await asyncio.sleep(0.01)
    server.policy.is_shutting_down = True
    for connection in server.connections:
        connection.close_if_idle()
    server.may_respond.set()
    data = await read_until_closed(reader)
    assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"hi")
    assert b"Connection: close" in data


async def test_body_may_take_longer_than_the_header_timeout():
    server = CallerServer(make_policy(header_s=0.2, idle_s=2.0))
    reader, writer = await server.start()
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n")
    writer.write(b"Connection: close\r\n\r\nh")
    await asyncio.sleep(0.5)
    writer.write(b"i")
    assert (await read_until_closed(reader)).endswith(b"hi")


async def test_requests_that_were_read_before_a_shutdown_are_all_answered():
    server = CallerServer()
    server.may_respond = asyncio.Event()
    reader, writer = await server.start()
    for number in range(3):
        writer.write(
            b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n%d"
            % (number, number)
        )
    await asyncio.sleep(0.05)
    server.policy.is_shutting_down = True
    server.may_respond.set()
    received = await read_until_closed(reader)
    assert received.count(b"HTTP/1.1 200 OK") == 3
    assert received.count(b"Connection: close") == 1
    assert received.endswith(b"\r\n\r\n2")


async def test_new_connection_may_send_its_first_request_during_a_shutdown():
    server = CallerServer()
    reader, writer = await server.start()
    server.policy.is_shutting_down = True
    await asyncio.sleep(0.1)
    for connection in list(server.connections):
        connection.close_if_idle()
    writer.write(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
    assert (await read_until_closed(reader)).endswith(b"\r\n\r\nhi")


async def test_new_connection_without_a_request_is_closed_during_a_shutdown():
    server = CallerServer()
    reader, _ = await server.start()
    server.policy.is_shutting_down = True
    async with asyncio.timeout(2):
        while server.connections:
            for connection in list(server.connections):
                connection.close_if_idle()
            await asyncio.sleep(0.05)
    assert await reader.read() == b""


async def test_request_whose_handler_fails_gets_a_response_and_the_next_one_too():
    server = CallerServer()
    reader, writer = await server.start()
    writer.write(b"GET /defect HTTP/1.1\r\nHost: h\r\n\r\n")
    writer.write(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Connection: close\r\n\r\nhi"
    )
    received = await read_until_closed(reader)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert received.endswith(b"\r\n\r\nhi")


def test_request_that_arrived_in_a_pause_of_the_router_is_read_before_an_idle_timeout():
    async def send_in_a_pause():
        server = CallerServer(make_policy(idle_s=0.2))
        await server.start()
        port = server.listener.sockets[0].getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)) as caller:
            await asyncio.sleep(0.1)
            caller.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                b"Connection: close\r\n\r\nhi"
            )
            time.sleep(0.2)
            return await asyncio.to_thread(caller.recv, 1000)

    assert uvloop.run(send_in_a_pause()).startswith(b"HTTP/1.1 200")


async def test_request_that_is_part_read_when_a_stop_ends_the_response_before_it():
    server = CallerServer()
    server.may_respond = asyncio.Event()
    reader, writer = await server.start()
    writer.write(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh")
    await asyncio.sleep(0.05)
    server.policy.is_shutting_down = True
    server.may_respond.set()
    await asyncio.sleep(0.05)
    for connection in list(server.connections):
        connection.close_if_idle()
    writer.write(b"i")
    received = await read_until_closed(reader)
    assert b"Connection: close" not in head
    assert received.endswith(b"\r\n\r\nhi") and b"Connection: close" in received


def receive_body(caller):
    data = b""
    while not data.endswith(b"hi") and (part := caller.recv(1000)):
        data += part
    return data


def test_request_that_arrived_in_a_pause_of_the_router_is_read_before_a_stop_closes():
    async def send_in_a_pause():
        server = CallerServer()
        await server.start()
        port = server.listener.sockets[0].getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)) as caller:
            request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
            caller.sendall(request)
            first = await asyncio.to_thread(receive_body, caller)
            caller.sendall(request)
            time.sleep(0.2)
            server.policy.is_shutting_down = True
            for connection in list(server.connections):
                connection.close_if_idle()
            return first, await asyncio.to_thread(receive_body, caller)

    first, second = uvloop.run(send_in_a_pause())
    assert first.endswith(b"hi") and second.endswith(b"hi")


async def test_request_that_stalls_behind_a_long_response_is_timed_out():
    server = CallerServer(make_policy(header_s=0.2, idle_s=0.3))
    server.may_respond = asyncio.Event()
    reader, writer = await server.start()
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHo")
    await asyncio.sleep(0.5)
    server.may_respond.set()
    received = await read_until_closed(reader)
    assert received.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 408" in received


@pytest.mark.parametrize(("former_s", "new_s"), [(0.3, 3.0), (3.0, 0.3)])
async def test_caller_keeps_the_longer_idle_time_across_a_change(former_s, new_s):
    # Callers reuse connections for as long as the longer of the two limits allows.
    server = CallerServer(make_policy(idle_s=former_s))
    reader, writer = await server.start()
    request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
    writer.write(request)
    await reader.readuntil(b"hi")
    server.policy.limits = make_policy(idle_s=new_s).limits
    await asyncio.sleep(0.6)
    writer.write(request)
    assert (await reader.readuntil(b"hi")).startswith(b"HTTP/1.1 200")


async def end_idle(server, reader, writer):
    await read_until_closed(reader)


async def end_inside_a_body(server, reader, writer):
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nab")
    await read_until_closed(reader)


async def end_by_the_caller(server, reader, writer):
    server.may_respond = asyncio.Event()
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    while not server.requests:
        await asyncio.sleep(0.01)
    writer.close()


async def end_by_a_stop(server, reader, writer):
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    server.policy.is_shutting_down = True
    for connection in list(server.connections):
        connection.close_if_idle()


@pytest.mark.parametrize(
    ("end", "event", "field"),
    [
        (end_idle, "idle_caller_closed", {"is_shutting_down": False}),
        (end_inside_a_body, "request_unreadable", {"has_head": True, "body_bytes": 2}),
        (end_by_the_caller, "caller_disconnected", {"requests": 1}),
        (end_by_a_stop, "idle_caller_closed", {"is_shutting_down": True}),
    ],
)
async def test_log_tells_how_a_connection_without_an_answer_ended(
    monkeypatch, end, event, field
):
    events = []
    monkeypatch.setattr(
        http_caller, "log_event", lambda name, **fields: events.append((name, fields))
    )
    server = CallerServer()
    reader, writer = await server.start()
    caller = "{}:{}".format(*writer.get_extra_info("sockname"))
    await end(server, reader, writer)
    async with asyncio.timeout(3):
        while server.connections:
            await asyncio.sleep(0.01)
    writer.close()
    assert [name for name, _ in events] == [event]
    assert events[0][1].items() >= {**field, "caller": caller}.items()


def test_refusal_reaches_a_caller_that_is_still_sending_its_body():
    # Bytes that arrive after a close reset the connection and discard the refusal.
    def send_large_body(port):
        with socket.create_connection(("127.0.0.1", port)) as caller:
            caller.sendall(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n"
            )
            for _ in range(50):
                caller.sendall(b"x" * 100_000)
            return caller.recv(1000)

    async def refuse_large_body():
        server = CallerServer()
        _, writer = await server.start()
        port = server.listener.sockets[0].getsockname()[1]
        received = await asyncio.to_thread(send_large_body, port)
        writer.close()
        return received

    assert uvloop.run(refuse_large_body()).startswith(b"HTTP/1.1 413")


async def test_caller_that_never_stops_sending_after_a_refusal_is_cut():
    server = CallerServer()
    _, writer = await server.start()
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n")
    async with asyncio.timeout(3):
        while not server.requests or server.connections:
            writer.write(b"x")
            await asyncio.sleep(0.01)
    writer.close()


@pytest.mark.parametrize(
    ("count", "status"), [(MAX_HEADERS, 200), (MAX_HEADERS + 1, 431)]
)
async def test_headers_are_limited_in_number(count, status):
    server = CallerServer()
    server.policy.limits = replace(server.policy.limits, max_header_bytes=100_000)
    reader, writer = await server.start()
    headers = b"a: b\r\n" * (count - 1) + b"Connection: close\r\n"
    writer.write(b"GET / HTTP/1.1\r\n" + headers + b"\r\n")
    assert (await read_until_closed(reader)).startswith(b"HTTP/1.1 %d" % status)


@pytest.mark.parametrize(
    ("start", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: ", 431),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", 400),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", 400),
    ],
)
async def test_field_without_end_is_rejected(start, status):
    server = CallerServer(make_policy(header_s=10, idle_s=10))
    reader, writer = await server.start()
    writer.write(start + b"x" * 60_000)
    data = await read_until_closed(reader)
    assert data.startswith(b"HTTP/1.1 %d" % status)
    assert [each.error_status for each in server.requests] == [status]


async def test_requests_ahead_wait_until_responses_are_read():
    server = CallerServer()
    reader, writer = await server.start()
    reader._transport.pause_reading()
    writer.write(b"GET /bodiless HTTP/1.1\r\nHost: h\r\n\r\n" * 20_000)
    count = -1
    while count != len(server.requests):
        count = len(server.requests)
        await asyncio.sleep(0.3)
    # The kernel buffers some megabytes of responses.
    assert 0 < count < 5_000
    writer.transport.abort()


async def test_requests_ahead_are_refused_for_want_of_memory():
    server = CallerServer(CallerPolicy(CallerLimits(20_000, 100, 5.0, 5.0)))
    server.memory = make_memory_bound(200_000)
    server.may_respond = asyncio.Event()
    reader, writer = await server.start()
    fields = b"".join(b"f%d:x\r\n" % number for number in range(400))
    request = b"POST / HTTP/1.1\r\nContent-Length: 0\r\n" + fields + b"\r\n"
    writer.write(request)
    while not server.requests:
        await asyncio.sleep(0.01)
    writer.write(request * 8)
    while not server.memory.given_up_count:
        await asyncio.sleep(0.01)
    server.may_respond.set()
    data = await read_until_closed(reader)
    # The request in progress is answered, and the next one is refused.
    assert data.startswith(b"HTTP/1.1 200")
    assert data.count(b"HTTP/1.1") == 2 and b"HTTP/1.1 503" in data
    writer.close()
    await asyncio.sleep(0.05)
    assert server.memory.held_bytes == 0
