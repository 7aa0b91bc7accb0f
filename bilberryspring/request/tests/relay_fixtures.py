"""Fakes and factories for tests of the relay, with servers that follow scripts."""

import asyncio
from dataclasses import dataclass, field

from bilberryspring.capability.backend_calls import BackendResponseHead, Reachability
from bilberryspring.capability.routing import (
    BackendServer,
    DirectRoute,
    EngineLimits,
    ExecutionRule,
    IncomingRequest,
    PoolLimits,
    Prompt,
    PromptPart,
)
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.errors import ErrorKind, make_failure
from bilberryspring.request.fleet_budget import make_fleet_retry_budget
from bilberryspring.request.relay import make_relay
from bilberryspring.request.suspect_contents import make_suspect_contents

ENGINE = EngineLimits(slots=4, cache_tokens=100_000, chunk_tokens=9, can_fetch=True)
SERVICE_POOL = PoolLimits("desk", 100, None)
ENGINE_POOL = PoolLimits("writers", 100, ENGINE)


def make_route(rule=ExecutionRule.ONCE, **changes):
    values = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/",
        "rule": rule,
        "pools": (("desk", 1.0),),
        "max_servers": 2,
        "timeout_s": 2.0,
        "target_s": 0.4,
        "pause_target_s": 0.3,
        "rank_order": 2,
        "is_public": False,
        "is_resumable": False,
    }
    return DirectRoute(**{**values, **changes})


def make_prompt(*parts, output_tokens=100):
    found = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Prompt("m", sum(part.tokens for part in found), output_tokens, found)


def make_request(
    route, deadline_s=3.0, request_id="q1", rank_order=2, prompt=None, target="/x"
):
    now_s = read_boot_time_s()
    return IncomingRequest(
        request_id=request_id,
        method="POST",
        target=target,
        headers=[],
        body=b"",
        route=route,
        workspace=None,
        rank_order=rank_order,
        received_s=now_s,
        deadline_s=now_s + deadline_s,
        prompt=prompt,
    )


def make_server(server_id, pool="desk", slots=4, zone="z", started_at_ms=1):
    return BackendServer(
        server_id, pool, "127.0.0.1", 1, zone, slots, True, started_at_ms
    )


def make_head(status=200, was_not_run=False, is_own=True, pause_s=0.0):
    return BackendResponseHead(status, [], was_not_run, is_own, None, pause_s=pause_s)


def make_lost_connection(reason="connection reset"):
    return make_failure(ErrorKind.BACKEND_FAILED, reason)


@dataclass
class ScriptedExchange:
    """Exchange that returns the items of a script.

    A float is a pause in seconds, ``None`` the end of the response; an exhausted script
    is silent.
    """

    script: list
    calls: "ScriptedBackendCalls"
    pause_ends_s: float | None = None
    is_given_up: bool = False

    async def _next(self):
        while self.script and isinstance(self.script[0], float):
            # A read that is cancelled in a pause does not begin the pause anew.
            now_s = asyncio.get_running_loop().time()
            if self.pause_ends_s is None:
                self.pause_ends_s = now_s + self.script[0]
            await asyncio.sleep(self.pause_ends_s - now_s)
            self.pause_ends_s = None
            self.script.pop(0)
        if not self.script:
            await asyncio.Event().wait()
        return self.script.pop(0)

    async def read_head(self):
        return await self._next()

    async def read_chunk(self):
        return await self._next()

    def keep_bytes(self, size_bytes):
        self.calls.kept_bytes.append(size_bytes)

    def give_up(self, excess, reason):
        self.is_given_up = True
        self.calls.given_up.append(excess)
        return make_failure(ErrorKind.BACKEND_FAILED, reason)

    def close(self):
        self.calls.closed += 1
        self.calls.closed_at_s.append(asyncio.get_running_loop().time())


@dataclass
class ScriptedBackendCalls:
    """Backend calls that follow the next script for each request.

    :param scripts: a list of items for each exchange, or a failure to connect.
    :param sent: server, resume position and rounded time left of each request sent.
    :param sent_at_s: loop time at which each of these was sent.
    :param closed: number of exchanges that were closed.
    :param closed_at_s: loop time at which each of these was closed.
    :param down: ids of the servers that are down.
    :param kept_bytes: memory that the relay stated for a response, at each change.
    :param given_up: bounds that responses exceeded.
    """

    scripts: list
    sent: list = field(default_factory=list)
    sent_at_s: list = field(default_factory=list)
    closed: int = 0
    closed_at_s: list = field(default_factory=list)
    down: set = field(default_factory=set)
    kept_bytes: list = field(default_factory=list)
    given_up: list = field(default_factory=list)

    async def check_reachability(self, server):
        is_down = server.server_id in self.down
        return Reachability.REFUSED if is_down else Reachability.REACHABLE

    async def begin(self, server, request, time_left_s):
        script = self.scripts[len(self.sent)]
        if not isinstance(script, list):
            self.scripts.pop(len(self.sent))
            return script
        self.sent.append(
            (server.server_id, request.resume_after, round(time_left_s, 1))
        )
        self.sent_at_s.append(asyncio.get_running_loop().time())
        return ScriptedExchange(list(script), self)


class RecordedAnswer:
    """Response as its caller receives it."""

    def __init__(self):
        self.head = None
        self.body = b""
        self.is_finished = False
        self.is_broken = False
        self.failure = None
        self.ended_s = None

    @property
    def is_started(self):
        return self.head is not None

    def start(self, head, length_bytes):
        assert self.head is None
        self.head = head

    async def write(self, data):
        self.body += data

    def finish(self):
        self.is_finished = True

    async def refuse(self, failure):
        assert self.head is None
        self.failure = failure
        self.ended_s = read_boot_time_s()

    def abort_response(self):
        self.is_broken = True


async def relay(
    route,
    scripts,
    servers=("a", "b", "c"),
    extra=20,
    suspects=None,
    down=(),
    stop_in_s=None,
    start_in_s=0.0,
    wait_s=0.0,
    table=None,
    **request,
):
    """Relay one request; return its recorded answer and the backend calls.

    :param stop_in_s: time in seconds after which a router that stops ends all requests.
    :param start_in_s: time in seconds from which it sends none that may last longer.
    :param wait_s: time in seconds that the request waits for its reservation.
    :param table: servers with their state; ``None`` for those of ``servers``.
    """
    if table is None:
        table = make_server_table()
        for server_id in servers:
            table.put(make_server(server_id))
    calls = ScriptedBackendCalls(list(scripts), down=set(down))
    budget = make_fleet_retry_budget(0.0, extra, 10.0, asyncio.get_running_loop().time)
    dispatcher = make_dispatcher(table, "z", 2.0)
    answer = RecordedAnswer()
    tested_relay = make_relay(
        calls, dispatcher, table, budget, suspects or make_suspect_contents()
    )
    if stop_in_s is not None:
        now_s = read_boot_time_s()
        tested_relay.stop_by(now_s + stop_in_s, now_s + start_in_s)
    if wait_s:
        acquire = dispatcher.acquire

        async def wait_and_acquire(*arguments):
            await asyncio.sleep(wait_s)
            return await acquire(*arguments)

        dispatcher.acquire = wait_and_acquire
    await tested_relay.relay(make_request(route, **request), SERVICE_POOL, answer)
    await asyncio.gather(*tested_relay._crash_checks)
    assert all(record.requests == 0 for record in table.records.values())
    return answer, calls
