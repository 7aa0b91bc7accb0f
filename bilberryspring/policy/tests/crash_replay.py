"""Replay of a fleet whose servers crash on requests with some part of their prompt.

Routers keep production evidence on contents and exchange production reports over the
network of the fleet replay, on a virtual clock. A request is sent to a random server,
which answers after a while. If the request contains a deadly part, the server crashes
instead, and all its requests break.
"""

import asyncio
import functools
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from unittest import mock

from bilberryspring.capability.backend_calls import ServerLoad
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.connection.router_reports import decode_report
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.policy.quarantine import Content, ContentHash
from bilberryspring.policy.tests.fleet_replay import (
    DATAGRAM_LOSS,
    NETWORK_DELAY_S,
    WARM_UP_S,
    Network,
    Router,
    seeded,
)
from bilberryspring.process import router_peers
from bilberryspring.request.relay import SUSPECT_RETRY_DELAY_S
from bilberryspring.request.response_progress import CRASH_DELAY_S
from bilberryspring.request.suspect_contents import hash_crash
from bilberryspring.request.tests.relay_fixtures import make_server

FIRST_EVENT_S = (0.03, 0.3)
ANSWER_S = 1.0
RESTART_S = 3.0
MAX_TRIES = 2
# Time after which a request that found no server is refused.
WAIT_S = 3.0
SYSTEM_PARTS = 4
NEWEST_SUBJECTS = 10
NEWEST_SHARE = 0.1
SAMPLE_INTERVAL_S = 0.05
# Bytes of reports are averaged over so many seconds.
BYTES_WINDOW_S = 5
ADDRESS_INTERVAL_S = 5.0
START_S = 1_700_000_000.0
# Rules on requests with a deadly part apply from this time after the fifth crash.
STABLE_S = 3.0
REFUSAL_WINDOW_S = 5.0
MIN_WINDOW_REQUESTS = 20


@dataclass(frozen=True)
class CrashFleet:
    """Sizes of a fleet, its requests, and what crashes its servers.

    :param routers: number of routers.
    :param servers: number of servers.
    :param requests_per_s: arrival rate of the sound requests.
    :param deadly_per_s: arrival rates of the requests with each deadly part.
    :param deadly_from_s: time from which requests with deadly parts arrive.
    :param turns_deadly: whether such requests arrive from the start on, and are
        answered until ``deadly_from_s``.
    :param is_subject: whether a deadly part takes the place of the subject part.
    :param crashes: times in seconds at which a random server crashes on its own.
    :param datagram_loss: share of the datagrams that are lost.
    :param late_router_s: time at which one more router starts.
    :param subjects: number of subject parts at the start.
    :param new_subjects_per_s: subject parts that appear each second.
    :param first_request_s: time of the first request.
    """

    routers: int = 68
    servers: int = 30
    requests_per_s: float = 60.0
    deadly_per_s: tuple[float, ...] = (3.0,)
    deadly_from_s: float = 6.0
    turns_deadly: bool = False
    is_subject: bool = False
    crashes: tuple[float, ...] = ()
    datagram_loss: float = DATAGRAM_LOSS
    late_router_s: float = math.inf
    subjects: int = 300
    new_subjects_per_s: float = 2.0
    first_request_s: float = WARM_UP_S


@dataclass
class Outcome:
    """Result of one request.

    :param arrived_s: time of its arrival.
    :param system_part: system part of its prompt.
    :param deadly_part: deadly part that it contains, or ``None``.
    :param sent_s: times at which it was sent to a server.
    :param result: ``"answered"``, ``"quarantined"``, ``"broken"`` or ``"waited"``.
    """

    arrived_s: float
    system_part: Content
    deadly_part: Content | None
    sent_s: list = field(default_factory=list)
    result: str = ""

    @property
    def is_begun_at_first_try(self):
        return self.result == "answered" and len(self.sent_s) == 1


@dataclass
class CrashResult:
    """Measurements of a replay.

    :param outcomes: results of the requests that ended.
    :param crashed_s: times of the crashes by each deadly part, and of those by none.
    :param refused_from_s: for each deadly part, time from which each router that runs
        from the start refuses it.
    :param late_router_refused_s: time from which the late router refuses the first.
    :param wrong_quarantines: router, content and duration in seconds of the quarantines
        of sound prompt parts.
    :param sent_bytes: bytes that each router sent, for each second.
    :param records: highest number of records of a router.
    :param answered_parts: highest number of answered parts that a router knew.
    """

    outcomes: list = field(default_factory=list)
    crashed_s: dict = field(default_factory=dict)
    refused_from_s: dict = field(default_factory=dict)
    late_router_refused_s: float = math.inf
    wrong_quarantines: list = field(default_factory=list)
    sent_bytes: list = field(default_factory=list)
    records: int = 0
    answered_parts: int = 0

    def count_crashes(self):
        return sum(map(len, self.crashed_s.values()))

    def count_late_deadly(self):
        """Return how many deadly requests were sent although they must not be."""
        late = 0
        for content, crashed_s in self.crashed_s.items():
            if content is None or len(crashed_s) < 5:
                continue
            late += sum(
                sent_s > crashed_s[4] + STABLE_S
                for outcome in self.outcomes
                if outcome.deadly_part == content
                for sent_s in outcome.sent_s
            )
        return late

    def list_spread_s(self):
        """Return for each deadly part the time from the second crash to the last router
        that refuses the part."""
        return [
            max(refused_from_s.values()) - self.crashed_s[content][1]
            for content, refused_from_s in self.refused_from_s.items()
            if len(self.crashed_s[content]) > 1
        ]

    def list_sound(self):
        return [outcome for outcome in self.outcomes if outcome.deadly_part is None]

    def compute_refused_share(self):
        sound = self.list_sound()
        return sum(each.result == "quarantined" for each in sound) / len(sound)

    def compute_worst_refused_share(self, system_part=None):
        """Return the highest share of sound requests refused in any window."""
        window, refused, worst = deque(), 0, 0.0
        for each in sorted(self.list_sound(), key=lambda each: each.arrived_s):
            if system_part is not None and each.system_part != system_part:
                continue
            window.append(each)
            refused += each.result == "quarantined"
            while window[0].arrived_s < each.arrived_s - REFUSAL_WINDOW_S:
                refused -= window.popleft().result == "quarantined"
            if len(window) >= MIN_WINDOW_REQUESTS:
                worst = max(worst, refused / len(window))
        return worst

    def compute_begun_share(self, from_s, to_s):
        """Return the share of the sound requests that began at their first try."""
        sound = [each for each in self.list_sound() if from_s <= each.arrived_s < to_s]
        return sum(each.is_begun_at_first_try for each in sound) / max(len(sound), 1)

    def compute_worst_bytes_per_s(self):
        """Return the highest number of bytes a second of a router in any window."""
        windows = [
            sum(self.sent_bytes[end - BYTES_WINDOW_S : end], Counter())
            for end in range(BYTES_WINDOW_S, len(self.sent_bytes) + 1)
        ]
        return max(max(each.values()) for each in windows) / BYTES_WINDOW_S

    @property
    def longest_wrong_quarantine_s(self):
        return max((duration_s for *_, duration_s in self.wrong_quarantines), default=0)


def make_part(name):
    """Return the content of a prompt part."""
    return Content(ContentHash(hash_name(name)), False)


class _Server:
    def __init__(self, server_id, crashed_s):
        self.server_id = server_id
        self.crashed_s = crashed_s
        self.started_at_ms = 1
        # A dict keeps the order, so that a seed determines the replay.
        self.running = {}
        self.down_until_s = 0.0

    @property
    def is_up(self):
        return asyncio.get_running_loop().time() >= self.down_until_s

    async def run(self, first_event_s, deadly_part, begin):
        """Run a request; return the hash of the crash that broke it, or ``None``.

        :param first_event_s: time to the first event, in seconds.
        :param deadly_part: part that crashes the server then, or ``None``.
        :param begin: called when the answer has begun for long enough.
        """
        broken = asyncio.get_running_loop().create_future()
        self.running[broken] = None
        try:
            await asyncio.wait([broken], timeout=first_event_s)
            if deadly_part is not None and not broken.done():
                self.crash(deadly_part)
            await asyncio.wait([broken], timeout=CRASH_DELAY_S)
            if not broken.done():
                begin()
                await asyncio.wait([broken], timeout=ANSWER_S - CRASH_DELAY_S)
            return broken.result() if broken.done() else None
        finally:
            self.running.pop(broken, None)

    def crash(self, deadly_part):
        now_s = asyncio.get_running_loop().time()
        crash = hash_crash(self.server_id, self.started_at_ms)
        self.crashed_s[deadly_part].append(now_s)
        self.down_until_s = now_s + RESTART_S
        self.started_at_ms += 1
        for broken in self.running:
            broken.set_result(crash)
        self.running.clear()


class _Replay:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.network = Network(self.rng, fleet.datagram_loss)
        self.routers = []
        self.result = CrashResult()
        self.servers = [
            _Server(f"s{number}", self.result.crashed_s)
            for number in range(fleet.servers)
        ]
        self.deadly = [make_part(f"deadly{n}") for n in range(len(fleet.deadly_per_s))]
        for content in [None, *self.deadly]:
            self.result.crashed_s[content] = []
        self.wrong_since_s = {}
        self.background = []
        self.requests = []

    async def run(self, duration_s):
        fleet = self.fleet
        for _ in range(fleet.routers):
            self.add_router()
        self.background += [
            asyncio.create_task(each) for each in (self.sample(), self.count_bytes())
        ]
        begun = [self.send_sound()]
        begun += [self.send_deadly(number) for number in range(len(self.deadly))]
        begun += [self.crash_at(at_s) for at_s in fleet.crashes]
        self.background += [asyncio.create_task(each) for each in begun]
        if fleet.late_router_s < duration_s:
            await asyncio.sleep(fleet.late_router_s)
            self.add_router()
        await asyncio.sleep(duration_s - self.loop.time())
        for task in self.background:
            task.cancel()
        results = await asyncio.gather(*self.background, return_exceptions=True)
        for key in list(self.wrong_since_s):
            self.end_wrong_quarantine(key)
        for task in self.requests:
            task.cancel()
        results += await asyncio.gather(*self.requests, return_exceptions=True)
        failures = [each for each in results if isinstance(each, Exception)]
        assert not failures, failures
        return self.result

    def add_router(self):
        router = Router(len(self.routers), self.network, "weighted")
        for server in self.servers:
            router.table.put(make_server(server.server_id))
        self.routers.append(router)
        self.background.append(asyncio.create_task(router.peers.run()))
        self.background.append(asyncio.create_task(self.add_addresses(router)))

    async def add_addresses(self, router):
        while True:
            router.peers.add_addresses([each.ip for each in self.routers])
            await asyncio.sleep(ADDRESS_INTERVAL_S)

    async def send_sound(self):
        await asyncio.sleep(self.fleet.first_request_s)
        while True:
            await asyncio.sleep(self.rng.expovariate(self.fleet.requests_per_s))
            self.begin_request(self.draw_subject(), None)

    async def send_deadly(self, number):
        fleet, part = self.fleet, self.deadly[number]
        begin_s = fleet.first_request_s if fleet.turns_deadly else fleet.deadly_from_s
        await asyncio.sleep(begin_s)
        while True:
            await asyncio.sleep(self.rng.expovariate(fleet.deadly_per_s[number]))
            parts = [part] if fleet.is_subject else [part, *self.draw_subject()]
            self.begin_request(parts, part)

    async def crash_at(self, at_s):
        await asyncio.sleep(at_s)
        up = [server for server in self.servers if server.is_up]
        if up:
            self.rng.choice(up).crash(None)

    def draw_subject(self):
        new = int(self.fleet.new_subjects_per_s * self.loop.time())
        number = int(self.fleet.subjects * self.rng.random() ** 3) + new
        if self.rng.random() < NEWEST_SHARE:
            number = self.fleet.subjects + new - self.rng.randrange(NEWEST_SUBJECTS)
        return [make_part(f"subject{number}")]

    def begin_request(self, parts, deadly_part):
        # Requests with a deadly part are of one kind, with one system part.
        number = 0 if deadly_part else int(SYSTEM_PARTS * self.rng.random() ** 1.5)
        system = make_part(f"system{number}")
        own = Content(ContentHash(self.rng.getrandbits(64)), True)
        outcome = Outcome(self.loop.time(), system, deadly_part)
        router = self.rng.choice(self.routers)
        self.requests.append(
            asyncio.create_task(self.relay(router, (own, system, *parts), outcome))
        )

    async def relay(self, router, contents, outcome):
        outcome.result = await self.try_servers(router, contents, outcome)
        self.result.outcomes.append(outcome)

    async def try_servers(self, router, contents, outcome):
        tried, suspects = set(), router.suspects
        while True:
            if suspects.find_refusal(contents) is not None:
                return "broken" if outcome.sent_s else "quarantined"
            server = await self.find_server(tried)
            if server is None:
                return "broken" if outcome.sent_s else "waited"
            if suspects.admit(contents) is not None:
                return "broken" if outcome.sent_s else "quarantined"
            outcome.sent_s.append(self.loop.time())
            tried.add(server)
            begun = []
            crash = await self.run_at(router, server, contents, outcome, begun)
            if crash is None:
                return "answered"
            # The router tries to connect, to learn that the server is down.
            await asyncio.sleep(2 * NETWORK_DELAY_S)
            if not begun:
                suspects.record_crash(crash, contents)
            if len(outcome.sent_s) >= MAX_TRIES:
                return "broken"
            if suspects.is_unproven_suspect(contents):
                await asyncio.sleep(SUSPECT_RETRY_DELAY_S)

    async def find_server(self, tried):
        must_end_s = self.loop.time() + WAIT_S
        while self.loop.time() < must_end_s:
            up = [each for each in self.servers if each.is_up and each not in tried]
            if up:
                return self.rng.choice(up)
            await asyncio.sleep(0.1)
        return None

    async def run_at(self, router, server, contents, outcome, begun):
        record = router.table.records[server.server_id]
        record.change_requests(1, self.loop.time())

        def begin():
            begun.append(True)
            router.suspects.record_answer(contents)
            load = ServerLoad(len(server.running), 0, 8, 1.0)
            router.table.update_server_load(record, load)

        is_turned = self.loop.time() >= self.fleet.deadly_from_s
        deadly_part = outcome.deadly_part if is_turned else None
        first_event_s = self.rng.uniform(*FIRST_EVENT_S)
        crash = await server.run(first_event_s, deadly_part, begin)
        record.change_requests(-1, self.loop.time())
        return crash

    async def sample(self):
        """Sample which parts each router quarantines, and the size of its evidence."""
        result = self.result
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = self.loop.time()
            wrong = set()
            for number, router in enumerate(self.routers):
                suspects = router.suspects
                result.records = max(result.records, len(suspects._records))
                answered = len(suspects._answered_parts_s)
                result.answered_parts = max(result.answered_parts, answered)
                if not suspects.count_quarantined():
                    continue
                for content in suspects._quarantined:
                    if content in self.deadly:
                        self.record_refusal(number, content, now_s)
                    elif not content.is_request:
                        if suspects.find_refusal([content]) is not None:
                            wrong.add((number, content))
            for key in wrong - self.wrong_since_s.keys():
                self.wrong_since_s[key] = now_s
            for key in self.wrong_since_s.keys() - wrong:
                self.end_wrong_quarantine(key)

    def record_refusal(self, number, content, now_s):
        if number < self.fleet.routers:
            known = self.result.refused_from_s.setdefault(content, {})
            known.setdefault(number, now_s)
        elif content == self.deadly[0]:
            refused_s = self.result.late_router_refused_s
            self.result.late_router_refused_s = min(refused_s, now_s)

    def end_wrong_quarantine(self, key):
        duration_s = self.loop.time() - self.wrong_since_s.pop(key)
        self.result.wrong_quarantines.append((*key, duration_s))

    async def count_bytes(self):
        before = Counter()
        while True:
            await asyncio.sleep(1.0)
            sent = Counter(self.network.sent_bytes)
            self.result.sent_bytes.append(sent - before)
            before = sent


def replay_crashes(fleet, seed, duration_s=20.0):
    """Replay one random trace.

    :param fleet: sizes of the fleet, its requests, and what crashes its servers.
    :param seed: seed of all random draws.
    :param duration_s: length of the replay in seconds, on the virtual clock.
    :returns: the measurements.
    """

    async def run():
        return await _Replay(fleet, seed).run(duration_s)

    # Each report is decoded once for all its receivers.
    decode_once = functools.lru_cache(maxsize=8192)(decode_report)
    with (
        seeded(seed),
        mock.patch.object(router_peers, "decode_report", decode_once),
        # The time of a router's start changes the size of its packed reports.
        mock.patch.object(router_peers.time, "time", lambda: START_S),
    ):
        return run_on_virtual_clock(run())
