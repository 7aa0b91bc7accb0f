"""Calls of backend servers over reused connections.

Guards against a response to another request that is taken for that of the call, and
against sending a request that must run once over a connection that the server may be
closing.
"""

import asyncio
from dataclasses import replace

import pytest

from bilberryspring.capability.backend_calls import Reachability, ServerLoad
from bilberryspring.capability.routing import ExecutionRule
from bilberryspring.connection.tests.stream_server import (
    StreamServer,
    make_stream_server,
    serve_streams,
)
from bilberryspring.platform import backend_calls, unreadable_values
from bilberryspring.platform.backend_calls import make_server_calls
from bilberryspring.request.errors import ErrorKind, Failure, Outcome
from bilberryspring.request.tests.relay_fixtures import (
    make_request,
    make_route,
    make_server,
)

RESPONSE_TEMPLATE = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n"
    "{more}Content-Length: 2\r\n\r\nhi"
)


class ScriptedServer(StreamServer):
    """A server that sends scripted responses and counts connections.

    :param scripts: response to each request; ``None`` closes the connection.
    """

    def __init__(self, *scripts):
        super().__init__(self._respond)
        self.scripts = list(scripts)
        self.connections = 0
        self.heads = []

    async def _respond(self, reader, writer):
        self.connections += 1
        while True:
            try:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            except asyncio.IncompleteReadError:
                break
            response = self.scripts.pop(0)
            if response is None:
                break
            writer.write(response.encode("latin-1"))
        writer.close()


@pytest.fixture
async def start():
    """Start a server, and return it with a client; both are closed after the test."""
    servers, calls = [], make_server_calls()

    async def start(server):
        servers.append(server)
        _, port = await server.start()
        return replace(make_server("s1"), port=port), calls

    yield start
    calls.close()
    for server in servers:
        await server.close()


def make_response(request_id, more=""):
    return RESPONSE_TEMPLATE.format(id=request_id, more=more)


async def send_request(calls, server, request_id, rule=ExecutionRule.ONCE):
    request = make_request(make_route(rule), request_id=request_id)
    exchange = await calls.begin(server, request, 2.0)
    if isinstance(exchange, Failure):
        return exchange
    head = await exchange.read_head()
    if not isinstance(head, Failure):
        while isinstance(await exchange.read_chunk(), bytes):
            pass
    exchange.close()
    return head


async def test_connection_is_reused_and_request_names_its_server(start):
    scripted_server = ScriptedServer(make_response("a"), make_response("b"))
    server, calls = await start(scripted_server)
    assert (await send_request(calls, server, "a")).is_success
    assert (await send_request(calls, server, "b")).is_success
    assert scripted_server.connections == 1
    assert b"Expect-Replica: s1\r\n" in scripted_server.heads[0]


# Guards against connections that stay open after a request that could not be encoded.
async def test_request_that_cannot_be_encoded_leaves_no_connection(start):
    server, calls = await start(ScriptedServer())
    request = make_request(make_route(ExecutionRule.ONCE), request_id="a")
    request.workspace = "İzmir"
    with pytest.raises(UnicodeEncodeError):
        await calls.begin(server, request, 2.0)
    async with asyncio.timeout(2.0):
        while calls.connections:
            await asyncio.sleep(0.01)


async def test_response_to_another_request_is_skipped(start):
    scripted_server = ScriptedServer(make_response("old") + make_response("a"))
    server, calls = await start(scripted_server)
    head = await send_request(calls, server, "a")
    assert head.is_success
    assert (b"Attempt-Id", b"a") in head.headers


async def test_response_to_another_request_does_not_complete_the_call(start):
    scripted_server = ScriptedServer(make_response("old"), None)
    server, calls = await start(scripted_server)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await send_request(calls, server, "a")


@pytest.mark.parametrize(
    ("keep_alive", "connections"), [("timeout=1", 2), ("timeout=9", 1)]
)
async def test_keep_alive_timeout_of_server_is_respected(
    start, keep_alive, connections
):
    scripted_server = ScriptedServer(
        make_response("a", f"Keep-Alive: {keep_alive}\r\n"), make_response("b")
    )
    server, calls = await start(scripted_server)
    await send_request(calls, server, "a")
    await asyncio.sleep(0.1)
    await send_request(calls, server, "b")
    assert scripted_server.connections == connections


async def test_connection_is_kept_for_as_long_as_its_server_announces(
    start, monkeypatch
):
    rule = ExecutionRule.REPEATABLE
    monkeypatch.setattr(backend_calls, "MAX_IDLE_S", 0.05)
    monkeypatch.setattr(backend_calls, "MAX_IDLE_BEFORE_ONCE_S", 0.05)
    monkeypatch.setattr(backend_calls, "KEEP_ALIVE_MARGIN_S", 0.7)
    announced = [make_response(name, "Keep-Alive: timeout=1\r\n") for name in "abc"]
    scripted_server = ScriptedServer(*announced)
    server, calls = await start(scripted_server)
    await send_request(calls, server, "a", rule)
    await asyncio.sleep(0.15)
    calls.close_idle()
    await send_request(calls, server, "b", rule)
    assert scripted_server.connections == 1
    # Less than the margin is left of the announced time.
    await asyncio.sleep(0.35)
    await send_request(calls, server, "c", rule)
    assert scripted_server.connections == 2


async def test_request_that_must_run_once_leaves_a_connection_to_others(
    start, monkeypatch
):
    monkeypatch.setattr(backend_calls, "MAX_IDLE_BEFORE_ONCE_S", 0.05)
    announced = [make_response(name, "Keep-Alive: timeout=9\r\n") for name in "abc"]
    scripted_server = ScriptedServer(*announced)
    server, calls = await start(scripted_server)
    await send_request(calls, server, "a", ExecutionRule.REPEATABLE)
    await asyncio.sleep(0.1)
    await send_request(calls, server, "b", ExecutionRule.ONCE)
    assert scripted_server.connections == 2
    await asyncio.sleep(0.1)
    await send_request(calls, server, "c", ExecutionRule.REPEATABLE)
    assert scripted_server.connections == 2


async def test_connections_of_a_burst_are_not_kept_for_long(start, monkeypatch):
    monkeypatch.setattr(backend_calls, "MAX_IDLE_S", 0.05)
    kept = backend_calls.MAX_LONG_IDLE_CONNECTIONS
    responses = [make_response(name, "Keep-Alive: timeout=9\r\n") for name in "abcde"]
    server, calls = await start(ScriptedServer(*responses))
    connections = [await calls._open_connection(server, 1.0) for _ in range(kept + 3)]
    for connection in connections:
        connection.keep_alive_timeout_s = 9.0
        calls.release_connection(server, connection)
    await asyncio.sleep(0.1)
    calls.close_idle()
    assert [each.is_reusable for each in connections] == [False] * 3 + [True] * kept


async def test_request_that_must_run_once_uses_recent_connections_only(
    start, monkeypatch
):
    monkeypatch.setattr(backend_calls, "MAX_IDLE_BEFORE_ONCE_S", 0.05)
    scripted_server = ScriptedServer(
        make_response("a"), make_response("b"), make_response("c")
    )
    server, calls = await start(scripted_server)
    await send_request(calls, server, "a")
    await asyncio.sleep(0.1)
    await send_request(calls, server, "b", ExecutionRule.REPEATABLE)
    assert scripted_server.connections == 1
    await asyncio.sleep(0.1)
    await send_request(calls, server, "c")
    assert scripted_server.connections == 2


async def test_response_head_tells_whether_it_is_verified_and_was_executed(start):
    not_executed = (
        "HTTP/1.1 503 No\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    compressed = make_response("b", "Content-Encoding: gzip\r\n")
    scripted_server = ScriptedServer(not_executed, compressed)
    server, calls = await start(scripted_server)
    head = await send_request(calls, server, "a")
    assert head.was_not_run and not head.is_success
    assert not (await send_request(calls, server, "b")).is_verified


async def test_probe_detects_whether_a_server_listens(start):
    scripted_server = ScriptedServer()
    server, calls = await start(scripted_server)
    assert await calls.check_reachability(server) is Reachability.REACHABLE
    await scripted_server.close()
    calls.close()
    assert await calls.check_reachability(server) is Reachability.REFUSED
    found = await send_request(calls, server, "a")
    assert found.kind is ErrorKind.BACKEND_UNREACHABLE


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,0,8", ServerLoad(3, 0, 8)),
        ("3, 1 ,8", ServerLoad(3, 1, 8)),
        ("3,0,8,100", ServerLoad(3, 0, 8, 1.0)),
        ("3,0,8,250", ServerLoad(3, 0, 8, 2.5)),
        ("3,0,8,150,7", ServerLoad(3, 0, 8, 1.5)),
    ],
)
async def test_load_of_a_server_is_decoded(start, value, load):
    response = make_response("a", f"Replica-Load: {value}\r\n")
    server, calls = await start(ScriptedServer(response))
    head = await send_request(calls, server, "a")
    assert head.load == load
    assert not calls.unreadable_values.counts


@pytest.mark.parametrize(
    "value",
    ["", "3", "3,0", "a,b,c", "-3,0,8", "3,0,8,x", "3,0,8,0", "3,0,8,-1", "3,,8"]
    + ["1.5,0,8", "9999999,0,8", "3,0,8," + "9" * 5000, "\u00b2,0,8"],
)
async def test_unreadable_load_is_counted(start, value):
    response = make_response("a", f"Replica-Load: {value}\r\n")
    server, calls = await start(ScriptedServer(response, response))
    for _ in range(2):
        head = await send_request(calls, server, "a")
        assert head.is_success
        assert head.load is None
    assert calls.unreadable_values.counts == {"server_load": 2}


def test_unreadable_values_are_logged_at_a_bounded_rate(monkeypatch):
    lines, now_s = [], [0.0]
    monkeypatch.setattr(
        unreadable_values, "log_event", lambda event, **fields: lines.append(fields)
    )
    values = unreadable_values.make_unreadable_values(lambda: now_s[0])
    for _ in range(1000):
        values.record("server_load", "s1", b"x" * 5000, "not a number")
    now_s[0] = 10.0
    values.record("server_load", "s1", b"x", "not a number")
    assert [line["since_last_line"] for line in lines] == [1, 1000]
    assert all(len(line["value"]) <= 80 for line in lines)
    assert lines[0]["reason"] == "not a number"


async def test_unreadable_keep_alive_timeout_is_counted(start):
    response = make_response("a", "Keep-Alive: timeout=soon\r\n")
    server, calls = await start(ScriptedServer(response))
    assert (await send_request(calls, server, "a")).is_success
    assert calls.unreadable_values.counts == {"keep_alive": 1}


def make_copy(request_id_line):
    return (
        f"HTTP/1.1 200 OK\r\n{request_id_line}Response-Seal: s\r\n"
        "Content-Length: 3\r\n\r\nold"
    )


async def test_late_copy_on_an_idle_connection_closes_it(start):
    scripted_server = ScriptedServer(
        make_response("a") + make_copy("Attempt-Id: a\r\n"), make_response("b")
    )
    server, calls = await start(scripted_server)
    assert (await send_request(calls, server, "a")).is_success
    await asyncio.sleep(0.05)
    assert (b"Attempt-Id", b"b") in (await send_request(calls, server, "b")).headers
    assert scripted_server.connections == 2


@pytest.mark.parametrize("id_line", ["", "Attempt-Id: \r\n", "Attempt-Id: b\x7f\r\n"])
@pytest.mark.parametrize("is_executed", [True, False])
async def test_late_copy_without_a_usable_id_never_answers_another_request(
    start, id_line, is_executed
):
    copy = make_copy(id_line)
    if not is_executed:
        copy = copy.replace("200 OK", "503 No").replace("Response-Seal", "Not-Executed")
    scripted_server = ScriptedServer(make_response("a"), copy + make_response("b"))
    server, calls = await start(scripted_server)
    assert (await send_request(calls, server, "a")).is_success
    found = await send_request(calls, server, "b")
    if isinstance(found, Failure):
        assert found.kind is ErrorKind.BACKEND_FAILED
        assert found.outcome is Outcome.UNKNOWN
    else:
        assert (b"Attempt-Id", b"b") in found.headers


@pytest.mark.parametrize("cut", range(1, 80, 6))
async def test_late_copy_that_is_split_over_two_reads_is_skipped(start, cut):
    copy = make_copy("Attempt-Id: a\r\n")

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_response("a").encode())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(copy[:cut].encode())
        await asyncio.sleep(0.01)
        writer.write((copy[cut:] + make_response("b")).encode())

    server, calls = await start(make_stream_server(answer))
    assert (await send_request(calls, server, "a")).is_success
    found = await send_request(calls, server, "b")
    assert (b"Attempt-Id", b"b") in found.headers


COPY_HEADERS = (
    "Date: Fri, 04 Dec 2026 10:00:00 GMT\r\nServer: engine\r\n"
    "Attempt-Id: a\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbusy"
)
COPIES = {
    "refusal": "HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\n" + COPY_HEADERS,
    "misdirected": "HTTP/1.1 421 Misdirected Request\r\n" + COPY_HEADERS,
    "answer": "HTTP/1.1 200 OK\r\nResponse-Seal: old\r\n" + COPY_HEADERS,
    "interim": "HTTP/1.1 102 Processing\r\nNot-Executed: 1\r\n\r\n",
}
MOMENTS = ("with-previous-answer", "with-answer", "before-answer")


async def send_after_copy(copy, moment):
    """Send a request whose server sends a copy of an earlier response.

    :returns: head and body of the response, or a failure and nothing.
    """
    previous, own = make_response("a"), make_response("b")
    is_first = moment == "with-previous-answer"

    async def respond(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"Attempt-Id: a" in head:
            writer.write((previous + (copy if is_first else "")).encode())
            await reader.readuntil(b"\r\n\r\n")
        if not is_first:
            writer.write(copy.encode())
        if moment == "before-answer":
            await asyncio.sleep(0.005)
        writer.write(own.encode())
        await writer.drain()

    async with serve_streams(respond) as port:
        server, calls = replace(make_server("s1"), port=port), make_server_calls()
        for request_id in "ab":
            request = make_request(make_route(), request_id=request_id)
            request.headers = [(b"Attempt-Id", request_id.encode())]
            exchange = await calls.begin(server, request, 2.0)
            head = await exchange.read_head()
            body = b""
            while not isinstance(head, Failure):
                chunk = await exchange.read_chunk()
                if not isinstance(chunk, bytes):
                    break
                body += chunk
            exchange.close()
        calls.close()
        return head, body


@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("name", COPIES)
async def test_broken_off_copy_never_answers_the_next_request(name, moment):
    copy = COPIES[name]
    for cut in range(len(copy) + 1):
        head, body = await send_after_copy(copy[:cut], moment)
        if isinstance(head, Failure):
            assert head.outcome is Outcome.UNKNOWN, (cut, head)
            assert moment != "with-previous-answer", (cut, head)
            continue
        assert head.is_success and not head.was_not_run, (cut, head)
        assert (b"Attempt-Id", b"b") in head.headers, (cut, head)
        seals = [value for name, value in head.headers if name == b"Response-Seal"]
        assert (seals, body) == ([b"s"], b"hi"), (cut, head)


async def test_connection_of_a_refused_request_is_not_used_again(start):
    refusal = (
        "HTTP/1.1 503 No\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
        "Content-Length: 4\r\n\r\nfull"
    )
    scripted_server = ScriptedServer(refusal, make_response("b"))
    server, calls = await start(scripted_server)
    request = make_request(make_route(), request_id="a")
    exchange = await calls.begin(server, request, 2.0)
    assert (await exchange.read_head()).was_not_run
    exchange.close()
    assert (await send_request(calls, server, "b")).is_success
    assert scripted_server.connections == 2
    calls.close()


@pytest.mark.parametrize("body_bytes", [200_000, 20_000_000])
@pytest.mark.parametrize("is_refusal", [True, False])
async def test_rest_of_a_body_is_never_replaced_after_an_early_answer(
    body_bytes, is_refusal
):
    early = make_response("a")
    if is_refusal:
        early = early.replace("200 OK", "503 No").replace(
            "Response-Seal", "Not-Executed"
        )
    received = []

    async def respond(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"Attempt-Id: a" not in head:
            writer.write(make_response("b").encode())
            return
        writer.write(early.encode())
        await asyncio.sleep(0.2)
        body = b""
        while len(body) < body_bytes:
            part = await reader.read(body_bytes - len(body))
            if not part:
                break
            body += part
        received.append(body)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_response("b").encode())

    async with serve_streams(respond) as port:
        server, calls = replace(make_server("s1"), port=port), make_server_calls()
        request = make_request(make_route(), request_id="a")
        request.headers = [(b"Attempt-Id", b"a")]
        request.body = b"x" * body_bytes
        exchange = await calls.begin(server, request, 2.0)
        assert (await exchange.read_head()).was_not_run == is_refusal
        if not is_refusal:
            while isinstance(await exchange.read_chunk(), bytes):
                pass
        exchange.close()
        assert (await send_request(calls, server, "b")).is_success
        await asyncio.sleep(0.4)
        calls.close()
    assert all(body == b"x" * len(body) for body in received)


@pytest.mark.parametrize(
    "status, value, is_leaving",
    [
        ("200 OK", "1", True),
        ("503 Unavailable", "1", True),
        ("500 Error", "1", True),
        ("421 Misdirected", "1", False),
        ("200 OK", "0", False),
        ("200 OK", "yes", False),
    ],
)
async def test_leaving_that_a_server_states_is_read(start, status, value, is_leaving):
    response = make_response("a", f"Server-Leaving: {value}\r\n")
    scripted_server = ScriptedServer(response.replace("200 OK", status))
    server, calls = await start(scripted_server)
    assert (await send_request(calls, server, "a")).is_leaving is is_leaving


def make_refusal(*headers, status=503):
    lines = "".join(f"Retry-After: {value}\r\n" for value in headers)
    return (
        f"HTTP/1.1 {status} No\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
        f"{lines}Content-Length: 0\r\n\r\n"
    )


async def read_pause_s(start, refusal):
    server, calls = await start(ScriptedServer(refusal))
    head = await send_request(calls, server, "a")
    return head.pause_s, calls.unreadable_values.counts


@pytest.mark.parametrize(
    ("values", "pause_s"),
    [
        ((), 0.0),
        (("2",), 2.0),
        (("0",), 0.0),
        ((" 0.30000000000000004 ",), 0.30000000000000004),
        ((".5",), 0.5),
        (("1.5", "1.5"), 1.5),
        (("60",), 60.0),
    ],
)
async def test_time_for_which_a_server_wants_no_requests_is_decoded(
    start, values, pause_s
):
    found_s, unreadable = await read_pause_s(start, make_refusal(*values))
    assert found_s == pause_s
    assert not unreadable


@pytest.mark.parametrize(
    "value",
    [
        "",
        "-1",
        "+1",
        "nan",
        "inf",
        "1e3",
        "1,5",
        "soon",
        "Fri, 04 Dec 2026 08:00:00 GMT",
    ]
    + ["9" * 10_000, "1." + "0" * 10_000, "\u00b2"],
)
async def test_unreadable_pause_is_counted_and_ignored(start, value):
    found_s, unreadable = await read_pause_s(start, make_refusal(value))
    assert found_s == 0.0
    assert unreadable == {"pause": 1}


@pytest.mark.parametrize(
    ("values", "pause_s"),
    [(("7200",), 60.0), (("1", "2.5"), 2.5), (("2.5", "1"), 2.5), (("soon", "1"), 1.0)],
)
async def test_doubtful_pause_is_counted_and_bounded(start, values, pause_s):
    found_s, unreadable = await read_pause_s(start, make_refusal(*values))
    assert found_s == pause_s
    assert unreadable == {"pause": 1}


@pytest.mark.parametrize("status", [200, 421, 429, 500])
async def test_retry_after_of_another_status_is_no_pause(start, status):
    found_s, unreadable = await read_pause_s(start, make_refusal("2", status=status))
    assert found_s == 0.0
    assert not unreadable


async def read_limit(start, *values, status=200):
    """Return what a response with a limit shows, and counts of unreadable values."""
    lines = "".join(f"Server-Limit: {value}\r\n" for value in values)
    response = make_response("a", lines).replace("200 OK", f"{status} Status")
    server, calls = await start(ScriptedServer(response))
    head = await send_request(calls, server, "a")
    return (head.limit_per_s, head.tells_limit), calls.unreadable_values.counts


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ((), None),
        (("5.4",), 5.4),
        ((" 0.30000000000000004 ",), 0.30000000000000004),
        (("12", "12"), 12.0),
        (("0.0001",), backend_calls.MIN_LIMIT_PER_S),
    ],
)
@pytest.mark.parametrize("status", [200, 500])
async def test_limit_of_a_server_is_decoded(start, values, limit_per_s, status):
    found, unreadable = await read_limit(start, *values, status=status)
    assert found == (limit_per_s, True)
    assert not unreadable


@pytest.mark.parametrize(
    "value",
    ["", "-5", "nan", "inf", "1e3", "5,4", "none", "9" * 10_000, "\u00b2"],
)
async def test_unreadable_limit_shows_neither_a_limit_nor_its_end(start, value):
    found, unreadable = await read_limit(start, value)
    assert found == (None, False)
    assert unreadable == {"limit": 1}


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        (("0",), backend_calls.MIN_LIMIT_PER_S),
        (("7", "5"), 5.0),
        (("soon", "5"), 5.0),
    ],
)
async def test_doubtful_limit_is_counted_and_the_lowest_applies(
    start, values, limit_per_s
):
    found, unreadable = await read_limit(start, *values)
    assert found == (limit_per_s, True)
    assert unreadable == {"limit": 1}


async def test_limit_in_an_answer_of_another_server_is_not_that_of_the_called_one(
    start,
):
    (_, tells_limit), _ = await read_limit(start, "5", status=421)
    assert not tells_limit


async def read_cold_s(start, *values, status=200):
    """Return the cold time that a response tells, and counts of unreadable values."""
    lines = "".join(f"Cold-Ms: {value}\r\n" for value in values)
    response = make_response("a", lines).replace("200 OK", f"{status} Status")
    server, calls = await start(ScriptedServer(response))
    head = await send_request(calls, server, "a")
    return head.cold_remaining_s, calls.unreadable_values.counts


@pytest.mark.parametrize(
    ("values", "expected_s"), [((), None), (("1500",), 1.5), (("0",), 0.0)]
)
async def test_cold_time_of_a_response_is_decoded(start, values, expected_s):
    assert await read_cold_s(start, *values) == (expected_s, {})


@pytest.mark.parametrize(
    ("values", "expected_s"),
    [(("-5",), None), (("soon",), None), (("100", "900"), 0.9), (("x", "900"), 0.9)],
)
async def test_doubtful_cold_time_is_counted_and_the_longest_applies(
    start, values, expected_s
):
    assert await read_cold_s(start, *values) == (expected_s, {"cold": 1})


async def test_cold_time_in_an_answer_of_another_server_is_not_that_of_the_called_one(
    start,
):
    assert await read_cold_s(start, "900", status=421) == (None, {})
