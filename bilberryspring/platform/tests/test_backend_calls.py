import asyncio

import pytest

from bilberryspring.capability.routing import RunRule
from bilberryspring.platform import backend_calls
from bilberryspring.platform.backend_calls import make_server_calls
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.tests.relay_rig import (
    make_request,
    make_route,
    make_server,
)

ANSWER = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: s\r\n"
    "{more}Content-Length: 2\r\n\r\nhi"
)


class Server:
    """Answers each request with the next script, and counts connections."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.heads = []

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        listed = make_server("s1")
        return type(listed)("s1", "desk", "127.0.0.1", port, "z", 4, True, 1)

    async def _serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            except asyncio.IncompleteReadError:
                break
            script = self.scripts.pop(0)
            if script is None:
                break
            writer.write(script.encode())
        writer.close()


def say(request_id, more=""):
    return ANSWER.format(id=request_id, more=more)


async def ask(calls, server, request_id, rule=RunRule.ONCE):
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


async def test_a_connection_is_used_again_and_the_server_named():
    script = Server(say("a"), say("b"))
    server, calls = await script.start(), make_server_calls()
    assert (await ask(calls, server, "a")).is_success
    assert (await ask(calls, server, "b")).is_success
    assert script.connections == 1
    assert b"Expect-Replica: s1\r\n" in script.heads[0]


async def test_an_answer_to_another_request_is_skipped():
    script = Server(say("old") + say("a"))
    server, calls = await script.start(), make_server_calls()
    head = await ask(calls, server, "a")
    assert head.is_success
    assert (b"Attempt-Id", b"a") in head.headers


async def test_only_an_answer_to_another_request_is_no_answer():
    script = Server(say("old"), None)
    server, calls = await script.start(), make_server_calls()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.3):
            await ask(calls, server, "a")


@pytest.mark.parametrize(("told", "connections"), [("timeout=1", 2), ("timeout=9", 1)])
async def test_the_time_that_a_server_keeps_connections_is_respected(told, connections):
    script = Server(say("a", f"Keep-Alive: {told}\r\n"), say("b"))
    server, calls = await script.start(), make_server_calls()
    await ask(calls, server, "a")
    await asyncio.sleep(0.1)
    await ask(calls, server, "b")
    assert script.connections == connections


async def test_what_must_not_repeat_goes_on_fresh_connections_only(monkeypatch):
    monkeypatch.setattr(backend_calls, "MAX_IDLE_BEFORE_ONCE_S", 0.05)
    script = Server(say("a"), say("b"), say("c"))
    server, calls = await script.start(), make_server_calls()
    await ask(calls, server, "a")
    await asyncio.sleep(0.1)
    await ask(calls, server, "b", RunRule.REPEATABLE)
    assert script.connections == 1
    await asyncio.sleep(0.1)
    await ask(calls, server, "c")
    assert script.connections == 2


async def test_answers_say_whether_they_are_the_servers_own_and_whether_it_ran():
    unrun = "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    coded = say("b", "Content-Encoding: gzip\r\n")
    script = Server(unrun, coded)
    server, calls = await script.start(), make_server_calls()
    head = await ask(calls, server, "a")
    assert head.was_not_run and not head.is_success
    assert not (await ask(calls, server, "b")).is_own


async def test_whether_a_server_still_listens_is_seen():
    script = Server()
    server, calls = await script.start(), make_server_calls()
    assert not await calls.is_down(server)
    script.server.close()
    await script.server.wait_closed()
    calls.close()
    assert await calls.is_down(server)
    found = await ask(calls, server, "a")
    assert found.kind is ErrorKind.BACKEND_UNREACHABLE
