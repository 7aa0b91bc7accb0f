"""Replay of a fleet whose routers exchange reports as in production.

Routers place requests with the production dispatcher and exchange production reports,
over a network that delays and loses datagrams, on a virtual clock. A server is a simple
model: it runs a bounded number of requests, queues a few more, refuses the others, and
states its load with each response.
"""

import asyncio
import math
import random
from collections import Counter, OrderedDict, deque
from contextlib import contextmanager
from dataclasses import dataclass, field

from bilberryspring.capability.backend_calls import ServerLoad
from bilberryspring.capability.routing import ExecutionRule, PoolLimits
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.process.credit_exchange import make_credit_exchange
from bilberryspring.process.router_peers import make_router_peers
from bilberryspring.process.server_table import make_server_table
from bilberryspring.request.dispatcher import make_dispatcher
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.suspect_contents import make_suspect_contents
from bilberryspring.request.tests.relay_fixtures import (
    ENGINE,
    make_prompt,
    make_request,
    make_route,
    make_server,
)

NETWORK_DELAY_S = 0.001
DATAGRAM_LOSS = 0.01
# Routers hear enough of each other after this time; nothing is measured before.
WARM_UP_S = 2.0
# Bound on a server's requests, as the operators state it: this multiple of the mean of
# its pool, and a few more.
LOAD_BOUND_FACTOR = 2.0
LOAD_BOUND_MARGIN = 3.0
LOAD_BOUND_WINDOW_S = 5.0
PORT = 7340
PREFILL_TOKENS_PER_S = 140_000.0
FETCH_TOKENS_PER_S = 250_000.0
DECODE_S_PER_TOKEN = 0.0024
# Requests before the measurement, which fill the engines' caches.
CACHE_WARM_UP_S = 4.0
# A shared part counts as read again if it was used within this time.
REUSE_WINDOW_S = 10.0


@dataclass(frozen=True)
class ChatKind:
    """Chats of an engine workload, and the size of their requests.

    :param weight: relative frequency of the requests.
    :param chats: number of chats that share a part.
    :param shared_tokens: size of the part that the requests of a chat share.
    :param own_tokens: prompt tokens of each request besides.
    :param output_tokens: tokens that a response has.
    :param target_s: latency target of the first token in seconds.
    :param rank_order: order number of the work rank.
    """

    weight: float
    chats: int
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    target_s: float
    rank_order: int


# Long rolls, many drafts with long answers, and short checks.
CHAT_KINDS = (
    ChatKind(64.0, 450, 10_500, 1_300, 385, 1.223, 1),
    ChatKind(116.0, 600, 700, 130, 286, 0.409, 1),
    ChatKind(184.0, 400, 2_000, 360, 22, 0.411, 2),
)


@dataclass(frozen=True)
class Fleet:
    """Sizes of a fleet and of its load.

    :param routers: number of routers.
    :param servers: number of servers.
    :param slots: number of requests that a server runs concurrently.
    :param queued: number of requests that a server queues before it refuses.
    :param service_s: mean service time in seconds.
    :param utilization: offered load as a share of the capacity of all servers.
    :param is_engine: whether the servers are engines with caches of prompts.
    :param chats: number of chats that share the prompts; for engines only.
    :param target_s: latency target in seconds.
    :param deadline_s: time limit of the callers in seconds.
    :param flood_share: fraction of the requests that one workspace sends.
    :param burst: begin and end in seconds, and factor of the arrival rate between them.
    :param joining: time in seconds at which servers join, and their number.
    :param chat_kinds: kinds of the chats of engines, whose requests then follow from
        them; empty for requests of one kind that engines answer from their cache.
    :param memory_tokens: capacity of an engine for running requests and cached parts.
    :param arrivals_per_s: arrival rate that replaces the one by utilization; zero for
        none.
    :param mix_turn: time in seconds at which other chat kinds follow, and these.
    :param shedding_share: share of the servers that shed all requests for a time.
    :param shedding_s: how long each of them sheds, in seconds.
    :param are_pauses_known: whether every router knows these times beforehand.
    :param busy_ratio: factor by which work takes longer while a server's machine has
        other work, a fifth of the time.
    """

    routers: int = 68
    servers: int = 5
    slots: int = 6
    queued: int = 6
    service_s: float = 0.0225
    utilization: float = 0.15
    is_engine: bool = False
    chats: int = 400
    target_s: float = 0.154
    deadline_s: float = 0.638
    flood_share: float = 0.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    joining: tuple[float, int] = (math.inf, 0)
    chat_kinds: tuple[ChatKind, ...] = ()
    memory_tokens: int = 333_000
    arrivals_per_s: float = 0.0
    mix_turn: tuple[float, tuple[ChatKind, ...]] = (math.inf, ())
    busy_ratio: float = 1.0
    shedding_share: float = 0.0
    shedding_s: float = 0.0
    are_pauses_known: bool = False


@dataclass
class Outcomes:
    """Results of the requests of a replay.

    :param response_s: time in seconds from arrival to response, of answered requests.
    :param refused_after_s: time in seconds from arrival to refusal.
    :param server_refusals: number of requests that a server refused.
    :param first_token_s: times in seconds to the first token, by kind of chat.
    """

    response_s: list = field(default_factory=list)
    first_token_s: dict = field(default_factory=dict)
    refused_after_s: list = field(default_factory=list)
    server_refusals: int = 0

    @property
    def total(self):
        return len(self.response_s) + len(self.refused_after_s)

    def count_in_time(self, target_s):
        return sum(each_s <= target_s for each_s in self.response_s)


@dataclass
class FleetResult:
    """Measurements of a replay.

    :param by_workspace: outcomes by workspace; the flood is that of ``"flood"``.
    :param load_errors: difference of the estimated and the true number of requests at
        the chosen server, for each request.
    :param true_loads: true number at the same times.
    :param arrivals: time in seconds of each arrival at a server, and whether the server
        was beyond the load bound.
    :param report_bytes_per_s: bytes of reports that a router sent a second.
    :param reread_tokens: tokens of shared parts that an engine read although some
        engine had used them recently.
    :param fetched_tokens: tokens of shared parts that engines copied from each other.
    :param sent_in_pause: number of requests that a router sent to a server after this
        had told it to wait, and before the end of that time.
    :param returned: time in seconds since the end of its shedding at which each request
        reached a server, in its first seconds.
    :param returned_refusals: number of these that the server refused.
    """

    by_workspace: dict = field(default_factory=dict)
    load_errors: list = field(default_factory=list)
    true_loads: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    report_bytes_per_s: float = 0.0
    reread_tokens: int = 0
    fetched_tokens: int = 0
    sent_in_pause: int = 0
    returned: list = field(default_factory=list)
    returned_refusals: int = 0

    @property
    def all(self):
        merged = Outcomes()
        for outcomes in self.by_workspace.values():
            merged.response_s += outcomes.response_s
            merged.refused_after_s += outcomes.refused_after_s
            merged.server_refusals += outcomes.server_refusals
            for kind, times_s in outcomes.first_token_s.items():
                merged.first_token_s.setdefault(kind, []).extend(times_s)
        return merged

    def compute_rms_load_error(self):
        return math.sqrt(sum(e * e for e in self.load_errors) / len(self.load_errors))

    def compute_share_beyond_bound(self):
        """Return the highest share of arrivals beyond the bound in any window."""
        window, beyond, worst = deque(), 0, 0.0
        for at_s, is_beyond in self.arrivals:
            window.append((at_s, is_beyond))
            beyond += is_beyond
            while window[0][0] < at_s - LOAD_BOUND_WINDOW_S:
                beyond -= window.popleft()[1]
            if beyond >= 20:
                worst = max(worst, beyond / len(window))
        return worst


class _Server:
    def __init__(self, fleet, rng, busy_seed):
        self.fleet = fleet
        self.rng = rng
        self.busy_rng = random.Random(busy_seed)
        self.slots = asyncio.Semaphore(fleet.slots)
        self.present = 0
        self.parts = OrderedDict()
        self.running_tokens = 0
        self.prefills = asyncio.Lock()
        self.work_time_ratio = 1.0
        self.shedding_begin_s = self.shedding_end_s = math.inf

    def compute_pause_s(self, now_s):
        """Return for how long the server still sheds requests; zero if it does not."""
        is_shedding = self.shedding_begin_s <= now_s < self.shedding_end_s
        return self.shedding_end_s - now_s if is_shedding else 0.0

    def cache_part(self, part):
        """Cache a part, and evict the least recently used ones if memory is full."""
        self.parts[part.part_id] = part.tokens
        self.parts.move_to_end(part.part_id)
        used_tokens = self.running_tokens + sum(self.parts.values())
        while used_tokens > self.fleet.memory_tokens and len(self.parts) > 1:
            used_tokens -= self.parts.popitem(last=False)[1]

    async def serve_chat(self, prompt, source, last_used_s, result, state):
        """Read a prompt and generate a response; return whether it ran.

        :param prompt: prompt whose last part belongs to the request.
        :param source: engine to copy missing parts from, or ``None``.
        :param last_used_s: time of the last use of each part at any engine.
        :param result: measurements to add to.
        :param state: called with the stated load when the response begins.
        """
        if self.present >= self.fleet.slots + self.fleet.queued:
            state(self.state_load())
            return False
        self.present += 1
        async with self.slots:
            loop = asyncio.get_running_loop()
            own_tokens = prompt.parts[-1].tokens + prompt.output_tokens
            self.running_tokens += own_tokens
            async with self.prefills:
                prefill_s = prompt.parts[-1].tokens / PREFILL_TOKENS_PER_S
                for part in prompt.parts[:-1]:
                    if part.part_id not in self.parts:
                        if source is not None and part.part_id in source.parts:
                            prefill_s += part.tokens / FETCH_TOKENS_PER_S
                            result.fetched_tokens += part.tokens
                        else:
                            prefill_s += part.tokens / PREFILL_TOKENS_PER_S
                            used_s = last_used_s.get(part.part_id, -math.inf)
                            if loop.time() - used_s < REUSE_WINDOW_S:
                                result.reread_tokens += part.tokens
                    self.cache_part(part)
                    last_used_s[part.part_id] = loop.time()
                await asyncio.sleep(prefill_s)
            state(self.state_load())
            await asyncio.sleep(prompt.output_tokens * DECODE_S_PER_TOKEN)
            self.running_tokens -= own_tokens
        self.present -= 1
        return True

    def state_load(self):
        running = min(self.present, self.fleet.slots)
        waiting = self.present - running
        return ServerLoad(running, waiting, self.fleet.slots, self.work_time_ratio)

    async def vary_work_time(self):
        """Alternate between the usual time of work and that of a busy machine."""
        while True:
            self.work_time_ratio = 1.0
            await asyncio.sleep(self.busy_rng.expovariate(1 / 1.6))
            self.work_time_ratio = self.fleet.busy_ratio
            await asyncio.sleep(self.busy_rng.expovariate(1 / 0.4))

    async def serve(self, begin_share, state):
        """Serve a request; return whether it ran.

        :param begin_share: when the response begins, as a share of the service time.
        :param state: called with the load that the server states with the response.
        """
        if self.present >= self.fleet.slots + self.fleet.queued:
            state(self.state_load())
            return False
        self.present += 1
        async with self.slots:
            taken_s = self.fleet.service_s * self.rng.uniform(0.5, 1.5)
            taken_s *= self.work_time_ratio
            await asyncio.sleep(taken_s * begin_share)
            state(self.state_load())
            await asyncio.sleep(taken_s * (1 - begin_share))
        self.present -= 1
        return True


class Network:
    """Network that carries datagrams between the routers and counts their bytes.

    :param rng: generator of random numbers.
    :param datagram_loss: share of the datagrams that are lost.
    """

    def __init__(self, rng, datagram_loss=DATAGRAM_LOSS):
        self.rng = rng
        self.datagram_loss = datagram_loss
        self.peers = {}
        self.sent_bytes = Counter()

    def make_transport(self, ip):
        return _Transport(self, ip)

    def deliver(self, data, sender, ip):
        """Hand a datagram to the router at an address, if there is one."""
        if ip in self.peers:
            self.peers[ip].datagram_received(data, (sender, PORT))


class _Transport:
    def __init__(self, network, ip):
        self.network = network
        self.ip = ip

    def is_closing(self):
        return False

    def sendto(self, data, address):
        network = self.network
        network.sent_bytes[self.ip] += len(data) + 28
        if network.rng.random() < network.datagram_loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(NETWORK_DELAY_S, network.deliver, data, self.ip, address[0])


class _Feed:
    age_s = 0.0
    store_epoch = None

    def confirm(self, age_s):
        """Ignore the confirmation."""


class Router:
    """Router that exchanges reports with the others of a network."""

    def __init__(self, number, network, estimator="weighted"):
        loop = asyncio.get_running_loop()
        self.ip = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        self.table = make_server_table(estimator, loop.time)
        self.credits = make_credit_exchange(
            self.ip,
            self.table.rates,
            lambda: self.peers.list_addresses(),
            lambda data, ip: self.peers.send_datagram(data, ip),
            loop.time,
        )
        self.dispatcher = make_dispatcher(
            self.table,
            "z",
            LOAD_BOUND_FACTOR,
            read_clock=loop.time,
            credits=self.credits,
        )
        self.suspects = make_suspect_contents(loop.time)
        self.peers = make_router_peers(
            f"r{number}",
            self.ip,
            PORT,
            self.table,
            lambda: 1,
            lambda _: None,
            _Feed(),
            lambda _: None,
            self.suspects,
            read_clock=loop.time,
        )
        self.peers.on_credit_message = self.credits.receive
        network.peers[self.ip] = self.peers
        self.peers._transport = network.make_transport(self.ip)

    async def run(self):
        reporting = asyncio.create_task(self.peers.run())
        try:
            while True:
                self.dispatcher.router_count = self.peers.count_routers()
                self.dispatcher.dispatch_all_waiting()
                await asyncio.sleep(0.5)
        finally:
            reporting.cancel()


async def _run(fleet, seed, duration_s, estimator):
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    network = Network(rng)
    routers = [Router(number, network, estimator) for number in range(fleet.routers)]
    servers = {}
    running = []
    pool_name = "writers" if fleet.is_engine else "desk"
    limits = type(ENGINE)(fleet.slots, 333_000, 11, True) if fleet.is_engine else None
    pool = PoolLimits(pool_name, 500, limits)
    rule = ExecutionRule.STREAM if fleet.is_engine else ExecutionRule.ONCE
    plain_route = make_route(rule, target_s=fleet.target_s, timeout_s=fleet.deadline_s)
    last_used_s, told_pauses = {}, {}
    warm_up_s = WARM_UP_S + (CACHE_WARM_UP_S if fleet.chat_kinds else 0.0)
    result = FleetResult()

    def add_servers(count):
        for number in range(len(servers), len(servers) + count):
            server = servers[f"s{number}"] = _Server(fleet, rng, f"{seed}/{number}")
            if fleet.busy_ratio > 1:
                running.append(asyncio.create_task(server.vary_work_time()))
            for router in routers:
                listed = make_server(f"s{number}", pool_name, slots=fleet.slots)
                router.table.put(listed)

    async def run(number, workspace):
        outcomes = result.by_workspace.setdefault(workspace, Outcomes())
        router = routers[rng.randrange(len(routers))]
        prompt, kind_number, route = None, 0, plain_route
        arrival_s = loop.time()
        if fleet.chat_kinds:
            is_turned = arrival_s - warm_up_s >= fleet.mix_turn[0]
            kinds = fleet.mix_turn[1] if is_turned else fleet.chat_kinds
            weights = [kind.weight for kind in kinds]
            kind_number = rng.choices(range(len(weights)), weights)[0]
            kind = kinds[kind_number]
            chat = int(kind.chats * rng.random() ** 1.3)
            prompt = make_prompt(
                (f"chat{kind_number}-{chat}", kind.shared_tokens),
                (f"own{number}", kind.own_tokens),
                output_tokens=kind.output_tokens,
            )
            route = make_route(
                rule,
                target_s=kind.target_s,
                timeout_s=fleet.deadline_s,
                rank_order=kind.rank_order,
            )
        elif fleet.is_engine:
            chat = int(fleet.chats * rng.random() ** 1.3)
            prompt = make_prompt((f"chat{chat}", 3000), (f"own{number}", 400))
        request = make_request(route, request_id=f"q{number}", prompt=prompt)
        request.workspace = workspace
        request.received_s = loop.time()
        is_counted = arrival_s >= warm_up_s
        while True:
            place = await router.dispatcher.acquire(
                request, pool, arrival_s + fleet.deadline_s
            )
            if not isinstance(place, Reservation):
                if is_counted:
                    outcomes.refused_after_s.append(loop.time() - arrival_s)
                return
            server_id = place.record.server.server_id
            server = servers[server_id]
            if is_counted:
                estimated = place.record.total_requests - 1
                result.load_errors.append(estimated - server.present)
                result.true_loads.append(server.present)
                mean = sum(each.present for each in servers.values()) / len(servers)
                bound = LOAD_BOUND_FACTOR * mean + LOAD_BOUND_MARGIN
                result.arrivals.append((loop.time(), server.present > bound))
            sent_s = loop.time()
            told_until_s = told_pauses.get((router.ip, server_id), 0.0)
            result.sent_in_pause += sent_s < told_until_s
            await asyncio.sleep(NETWORK_DELAY_S)
            pause_s = server.compute_pause_s(loop.time())
            is_returned = 0.0 <= loop.time() - server.shedding_end_s < fleet.shedding_s
            if is_returned:
                result.returned.append(loop.time() - server.shedding_end_s)
            begun_s = []

            def state(load, place=place, begun_s=begun_s):
                record = place.record
                if is_counted:
                    begun_s.append(loop.time() - arrival_s)
                if place.shares_parts and fleet.chat_kinds:
                    loop.call_later(
                        NETWORK_DELAY_S,
                        router.table.record_cached_parts,
                        record,
                        prompt,
                        place.is_home,
                    )
                loop.call_later(
                    NETWORK_DELAY_S, router.table.update_server_load, record, load
                )

            if pause_s:
                has_run = False
            elif fleet.chat_kinds:
                source = request.fetch_from and servers[request.fetch_from.server_id]
                counted = result if is_counted else FleetResult()
                has_run = await server.serve_chat(
                    prompt, source, last_used_s, counted, state
                )
            else:
                share = 0.2 if fleet.is_engine else 1.0
                has_run = await server.serve(share, state)
            await asyncio.sleep(NETWORK_DELAY_S)
            result.returned_refusals += is_returned and not has_run
            if pause_s:
                told_pauses[router.ip, server_id] = loop.time() + pause_s
                router.table.pause(place.record, pause_s)
            router.dispatcher.release(place, loop.time() - sent_s if has_run else None)
            if has_run:
                if is_counted:
                    outcomes.response_s.append(loop.time() - arrival_s)
                    outcomes.first_token_s.setdefault(kind_number, []).extend(begun_s)
                return
            outcomes.server_refusals += is_counted
            request.tried_server_ids.add(server_id)
            if len(request.tried_server_ids) > 2:
                if is_counted:
                    outcomes.refused_after_s.append(loop.time() - arrival_s)
                return

    def start_known_pause(server_id, pause_s):
        for router in routers:
            router.table.records[server_id].pause.until_s = loop.time() + pause_s

    add_servers(fleet.servers)
    for number in range(round(fleet.servers * fleet.shedding_share)):
        server = servers[f"s{number}"]
        latest_s = max(duration_s - 1.5 * fleet.shedding_s, 0.0)
        server.shedding_begin_s = warm_up_s + server.busy_rng.uniform(0.0, latest_s)
        server.shedding_end_s = server.shedding_begin_s + fleet.shedding_s
        if fleet.are_pauses_known:
            loop.call_at(
                server.shedding_begin_s,
                start_known_pause,
                f"s{number}",
                fleet.shedding_s,
            )
    for router in routers:
        router.peers.add_addresses([other.ip for other in routers])
    running += [asyncio.create_task(router.run()) for router in routers]
    capacity_per_s = fleet.servers * fleet.slots / fleet.service_s
    tasks, begin_s, end_s, factor = [], *fleet.burst
    end_time_s = warm_up_s + duration_s
    while loop.time() < end_time_s:
        if loop.time() >= fleet.joining[0] and len(servers) == fleet.servers:
            add_servers(fleet.joining[1])
        is_burst = begin_s <= loop.time() - warm_up_s < end_s
        rate = fleet.arrivals_per_s or capacity_per_s * fleet.utilization
        rate *= factor if is_burst else 1.0
        await asyncio.sleep(rng.expovariate(rate))
        is_flood = rng.random() < fleet.flood_share
        workspace = "flood" if is_flood else f"w{len(tasks) % 20}"
        tasks.append(asyncio.create_task(run(len(tasks), workspace)))
    sent_bytes = sum(network.sent_bytes.values())
    result.report_bytes_per_s = sent_bytes / fleet.routers / loop.time()
    await asyncio.gather(*tasks)
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    return result


@contextmanager
def seeded(seed):
    """Seed the global generator, which the exchange of reports draws from."""
    state = random.getstate()
    random.seed(seed)
    try:
        yield
    finally:
        random.setstate(state)


def replay_fleet(fleet, seed, duration_s=6.0, estimator="weighted"):
    """Replay one random trace.

    :param fleet: sizes of the fleet and of its load.
    :param seed: seed of all random draws.
    :param duration_s: time in seconds that is measured.
    :param estimator: registered name of the estimator of other routers' requests.
    :returns: the measurements.
    """
    with seeded(seed):
        return run_on_virtual_clock(_run(fleet, seed, duration_s, estimator))
