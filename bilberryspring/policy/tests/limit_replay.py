"""Replay of a fleet before servers that limit the rate of requests, on a virtual clock.

Routers place requests with the production dispatcher and exchange production reports
and credit over a network that delays and loses datagrams. Routers are killed,
restarted, cut off or join, while servers state a limit, change it and end it, or
return cold.
"""

import asyncio
import math
import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

from bilberryspring.capability.routing import (
    EngineLimits,
    ExecutionRule,
    PoolLimits,
)
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.load.virtual_clock import run_on_virtual_clock
from bilberryspring.policy.tests.fleet_replay import (
    DATAGRAM_LOSS,
    NETWORK_DELAY_S,
    Network,
    Router,
    seeded,
)
from bilberryspring.process.credit_exchange import CreditState
from bilberryspring.request.reservations import Reservation
from bilberryspring.request.tests.relay_fixtures import (
    make_prompt,
    make_request,
    make_route,
    make_server,
)

# Routers know each other, and give credit, after this time.
WARM_UP_S = 2.0
# As the store lists routers to each other.
LISTING_INTERVAL_S = 4.0
WINDOW_S = 4.0
# What a server may get in any window: this multiple of its limit, and a few more, from
# this time after its first answer that named the limit.
ALLOWED_FACTOR = 1.2
ALLOWED_EXTRA = 3.0
LEARNING_S = 0.5
# Callers are spread unevenly over the routers.
UNEVENNESS = 0.7
POOL = PoolLimits("desk", 1, None)
SLOTS = 12
SERVICE_S = 0.05
ENGINE_SLOTS = 64
ENGINE_SERVICE_S = 0.4
# Bound on the requests at a cold server in any second, as operators state it.
COLD_OVERAGE_FACTOR, COLD_SLACK_REQUESTS = 1.5, 5.0
COLD_WINDOW_S = 1.0
# Routers hear within this time that a server is cold again.
COLD_AGAIN_S = 0.7
# How often servers write their entries, and routers read them.
ENTRY_INTERVAL_S = 0.5


@dataclass(frozen=True)
class ColdTime:
    """Servers that turn cold together; times are since the warm-up.

    :param at_s: when they go down, or turn cold if they don't.
    :param servers: number of servers, the first ones.
    :param down_s: how long they are down; zero if they are cold again without that.
    :param cold_s: for how long they are cold.
    """

    at_s: float
    servers: int
    down_s: float = 1.0
    cold_s: float = 4.0

    @property
    def begin_s(self):
        return self.at_s + self.down_s

    @property
    def end_s(self):
        return self.begin_s + self.cold_s


@dataclass(frozen=True)
class LimitedFleet:
    """Sizes of a fleet, and what happens to it; times are since the warm-up.

    :param routers: number of routers.
    :param servers: number of servers.
    :param limited: number of these that limit the rate.
    :param limits: time in seconds and limit of each statement, in requests per second;
        ``None`` ends the limit.
    :param demand_per_s: arrival rate at all routers together.
    :param restarts: time in seconds, number of the router and time down of each kill;
        infinite if it does not return. A negative number counts from the router that
        keeps the credit of the first server.
    :param joins: times in seconds at which routers join.
    :param target_s: latency target of the requests in seconds.
    :param deadline_s: time limit of the callers in seconds.
    :param cold_times: servers that turn cold.
    :param cold_per_s: rate that a cold server takes, in requests per second; zero if
        that is not stated.
    :param chats: number of chats whose prompts the servers, then engines, cache; zero
        for plain services.
    :param cuts: begin and end in seconds, and numbers of the routers that are cut off
        from the others, each by itself; negative as in ``restarts``.
    :param datagram_loss: share of the datagrams that are lost.
    :param has_equal_shares: whether each router sends an equal share of a rate, instead
        of asking for credit.
    """

    routers: int = 68
    servers: int = 6
    limited: int = 6
    limits: tuple[tuple[float, float | None], ...] = ((0.0, 5.0),)
    demand_per_s: float = 100.0
    restarts: tuple[tuple[float, int, float], ...] = ()
    joins: tuple[float, ...] = ()
    target_s: float = 0.3
    deadline_s: float = 1.5
    cold_times: tuple[ColdTime, ...] = ()
    cold_per_s: float = 0.0
    chats: int = 0
    cuts: tuple[tuple[float, float, tuple[int, ...]], ...] = ()
    datagram_loss: float = DATAGRAM_LOSS
    has_equal_shares: bool = False


@dataclass
class LimitResult:
    """Measurements of a replay; times are since the warm-up.

    :param fleet: the fleet.
    :param duration_s: time in seconds that was measured.
    :param arrivals: times of the requests that reached each server.
    :param first_named_s: when a router first got an answer with each limit, by server
        and number of the statement.
    :param served_s: waits in seconds of the requests that were sent to a server.
    :param refused: waits in seconds of the others, and their Retry-After.
    :param sent_bytes_per_s: bytes that the busiest router sent a second.
    """

    fleet: LimitedFleet
    duration_s: float
    arrivals: dict = field(default_factory=lambda: defaultdict(list))
    first_named_s: dict = field(default_factory=dict)
    served_s: list = field(default_factory=list)
    refused: list = field(default_factory=list)
    sent_bytes_per_s: float = 0.0

    def _integrate(self, server_id, begin_s, end_s):
        """Return the requests that a server allows between two times.

        A lower limit counts from the time at which routers must have learnt it.
        """
        begins_s = []
        for number, (at_s, rate) in enumerate(self.fleet.limits):
            previous = self.fleet.limits[number - 1][1] if number else None
            named_s = self.first_named_s.get((server_id, number), at_s)
            is_lower = previous is None or (rate is not None and rate < previous)
            begins_s.append(named_s + LEARNING_S if is_lower else at_s)
        total = 0.0
        for number, (_, rate) in enumerate(self.fleet.limits):
            until_s = begins_s[number + 1] if number + 1 < len(begins_s) else math.inf
            part_s = min(until_s, end_s) - max(begins_s[number], begin_s)
            if part_s > 0:
                total += part_s * (math.inf if rate is None else rate)
        if begin_s < begins_s[0]:
            return math.inf
        return total

    def find_excess(self):
        """Return by how much the worst window was beyond what was allowed."""
        worst = -math.inf
        for server_id, times_s in self.arrivals.items():
            if int(server_id[1:]) >= self.fleet.limited:
                continue
            for number, begin_s in enumerate(times_s):
                count = 0
                for at_s in times_s[number:]:
                    if at_s > begin_s + WINDOW_S:
                        break
                    count += 1
                allowed = self._integrate(server_id, begin_s, begin_s + WINDOW_S)
                worst = max(worst, count - ALLOWED_FACTOR * allowed - ALLOWED_EXTRA)
        return worst

    def compute_used_share(self, begin_s, end_s):
        """Return the share of the limits that was used between two times."""
        used = allowed = 0.0
        for number in range(self.fleet.limited):
            server_id = f"s{number}"
            times_s = self.arrivals[server_id]
            used += sum(begin_s <= at_s < end_s for at_s in times_s)
            allowed += self._integrate(server_id, begin_s, end_s)
        return used / allowed

    def list_cold(self, server_id):
        """Return the times in which a server is cold."""
        number = int(server_id[1:])
        return [each for each in self.fleet.cold_times if number < each.servers]

    def find_cold_excess(self):
        """Return by how much the worst second at a cold server was beyond its bound."""
        bound = COLD_OVERAGE_FACTOR * self.fleet.cold_per_s + COLD_SLACK_REQUESTS
        worst = -math.inf
        for server_id, times_s in self.arrivals.items():
            for cold in self.list_cold(server_id):
                begin_s = cold.begin_s + (0.0 if cold.down_s else COLD_AGAIN_S)
                counted_s = [at_s for at_s in times_s if begin_s <= at_s < cold.end_s]
                for number, first_s in enumerate(counted_s):
                    window = [
                        at_s
                        for at_s in counted_s[number:]
                        if at_s <= first_s + COLD_WINDOW_S
                    ]
                    worst = max(worst, len(window) - bound)
        return worst

    def compute_cold_used_share(self, delay_s=0.8):
        """Return the share of cold servers' rates that was used, after a delay."""
        used = allowed = 0.0
        for number in range(self.fleet.servers):
            for cold in self.list_cold(f"s{number}"):
                begin_s, end_s = cold.begin_s + delay_s, cold.end_s
                times_s = self.arrivals[f"s{number}"]
                used += sum(begin_s <= at_s < end_s for at_s in times_s)
                allowed += (end_s - begin_s) * self.fleet.cold_per_s
        return used / allowed

    def count_arrivals(self, begin_s, end_s):
        """Return the arrivals at each server between two times."""
        return [
            sum(begin_s <= at_s < end_s for at_s in self.arrivals[f"s{number}"])
            for number in range(self.fleet.servers)
        ]


class _EqualShares:
    """Alternative to the exchange of credit: each router sends its share of a rate."""

    def __init__(self, router):
        self._router = router
        self._credits = {}

    def get_state(self, server):
        rate_per_s = self._router.table.rates.find_rate_per_s(server)
        if rate_per_s is None:
            return CreditState.UNLIMITED
        now_s = asyncio.get_running_loop().time()
        credit, updated_s = self._credits.get(server, (0.0, now_s))
        share_per_s = rate_per_s / self._router.dispatcher.router_count
        credit = min(credit + share_per_s * (now_s - updated_s), 1.0)
        self._credits[server] = credit, now_s
        return CreditState.HELD if credit >= 1.0 else CreditState.DENIED

    def spend(self, server):
        self._credits[server] = self._credits[server][0] - 1.0, self._credits[server][1]
        return True

    def return_credit(self, server):
        self._credits[server] = self._credits[server][0] + 1.0, self._credits[server][1]


class _CutNetwork(Network):
    """Network from which some routers are cut off."""

    cut_ips = frozenset()

    def deliver(self, data, sender, ip):
        if sender not in self.cut_ips and ip not in self.cut_ips:
            super().deliver(data, sender, ip)


def _make_pool(fleet):
    if not fleet.chats:
        return replace(POOL, cold_start_s=4.0, cold_per_s=fleet.cold_per_s)
    engine = EngineLimits(ENGINE_SLOTS, 400_000, 7, True)
    return PoolLimits(POOL.name, 500, engine, 4.0, fleet.cold_per_s)


async def _run(fleet, seed, duration_s):
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    network = _CutNetwork(rng, fleet.datagram_loss)
    pool = _make_pool(fleet)
    slots = ENGINE_SLOTS if fleet.chats else SLOTS
    service_s = ENGINE_SERVICE_S if fleet.chats else SERVICE_S
    stopped = []
    routers, runs = {}, {}
    result = LimitResult(fleet, duration_s)
    route = make_route(
        ExecutionRule.ONCE, target_s=fleet.target_s, timeout_s=fleet.deadline_s
    )
    present = defaultdict(int)

    async def list_routers(router):
        await asyncio.sleep(rng.uniform(0.1, 0.5))
        while True:
            router.peers.add_addresses([each.ip for each in routers.values()])
            await asyncio.sleep(LISTING_INTERVAL_S)

    def list_servers(router):
        """Let a router read the entries of all servers, as they were just written."""
        now_s = loop.time() - WARM_UP_S
        for server_number in range(fleet.servers):
            server_id, starts, remaining_s = f"s{server_number}", 1, 0.0
            is_down = False
            for cold in result.list_cold(server_id):
                is_down |= cold.at_s <= now_s < cold.begin_s
                starts += bool(cold.down_s) and now_s >= cold.begin_s
                if cold.begin_s <= now_s < cold.end_s:
                    remaining_s = cold.end_s - now_s
            server = make_server(server_id, POOL.name, slots, started_at_ms=starts)
            if is_down:
                router.table.remove(server_id, "it is down")
            else:
                written = int(now_s / ENTRY_INTERVAL_S)
                router.table.put(
                    replace(
                        server,
                        report_number=written + 100,
                        cold_remaining_s=remaining_s,
                    )
                )

    async def follow_list(router):
        while True:
            list_servers(router)
            await asyncio.sleep(ENTRY_INTERVAL_S * rng.uniform(0.2, 1.2))

    def start_router(number):
        router = Router(number, network)
        router.table.cold.set_pools({pool.name: pool})
        router.table.cold.set_bound(COLD_OVERAGE_FACTOR, COLD_SLACK_REQUESTS)
        if fleet.has_equal_shares:
            shares = _EqualShares(router)
            router.dispatcher._credits = router.dispatcher._planner._credits = shares
        list_servers(router)
        routers[number] = router
        runs[number] = [
            asyncio.create_task(router.run()),
            asyncio.create_task(list_routers(router)),
        ]
        if fleet.cold_times:
            runs[number].append(asyncio.create_task(follow_list(router)))

    def stop_router(number):
        router = routers.pop(number, None)
        if router is not None:
            del network.peers[router.ip]
            for task in runs.pop(number):
                task.cancel()
                stopped.append(task)

    def find_limit(server_id, at_s):
        """Return the number of the statement in force, and its limit."""
        stated = [
            (number, rate)
            for number, (begin_s, rate) in enumerate(fleet.limits)
            if begin_s <= at_s
        ]
        is_limited = int(server_id[1:]) < fleet.limited
        return stated[-1] if stated and is_limited else (-1, None)

    def find_keepers():
        """Return the routers, the keeper of the first server's credit first."""
        router = next(iter(routers.values()))
        server = router.table.records["s0"].server
        key = hash_name(server.server_id), server.started_at_ms
        ranked = router.credits._rank_routers(key)
        by_ip = {each.ip: number for number, each in routers.items()}
        return [by_ip[ip] for ip in ranked if ip in by_ip]

    async def serve(number, router, begun_s):
        prompt = None
        if fleet.chats:
            # A few chats have much of the demand.
            chat = int(fleet.chats * rng.random() ** 3)
            prompt = make_prompt((f"chat{chat}", 700), (f"own{number}", 130))
        request = make_request(route, request_id=f"q{number}", prompt=prompt)
        request.received_s = loop.time()
        place = await router.dispatcher.acquire(
            request, pool, loop.time() + fleet.deadline_s
        )
        waited_s = loop.time() - request.received_s
        if not isinstance(place, Reservation):
            if begun_s >= 0:
                result.refused.append((waited_s, place.retry_after_s))
            return
        if begun_s >= 0:
            result.served_s.append(waited_s)
        place.is_sent = True
        server, sent_s = place.record.server, loop.time()
        await asyncio.sleep(NETWORK_DELAY_S)
        result.arrivals[server.server_id].append(loop.time() - WARM_UP_S)
        present[server.server_id] += 1
        over = max(present[server.server_id] / slots, 1.0)
        await asyncio.sleep(rng.uniform(0.5, 1.5) * service_s * over)
        present[server.server_id] -= 1
        statement, limit = find_limit(server.server_id, loop.time() - WARM_UP_S)
        await asyncio.sleep(NETWORK_DELAY_S * rng.uniform(1.0, 30.0))
        key = server.server_id, statement
        result.first_named_s.setdefault(key, loop.time() - WARM_UP_S)
        router.table.limits.record_answer(server, limit, sent_s)
        router.dispatcher.release(place, loop.time() - sent_s)

    for number in range(fleet.routers):
        start_router(number)
    changes = [
        (at_s, "kill", number, down_s) for at_s, number, down_s in fleet.restarts
    ]
    changes += [
        (at_s, "join", fleet.routers + n, 0) for n, at_s in enumerate(fleet.joins)
    ]
    for begin_s, end_s, numbers in fleet.cuts:
        changes += [(begin_s, "cut", numbers, 0), (end_s, "cut", (), 0)]
    changes.sort(key=lambda change: change[0])
    tasks = []
    while loop.time() < WARM_UP_S + duration_s:
        now_s = loop.time() - WARM_UP_S
        while changes and changes[0][0] <= now_s:
            _, kind, number, down_s = changes.pop(0)
            if kind == "join":
                start_router(number)
                continue
            if kind == "cut":
                chosen = [find_keepers()[-n - 1] if n < 0 else n for n in number]
                network.cut_ips = {routers[n].ip for n in chosen}
                continue
            number = find_keepers()[-number - 1] if number < 0 else number
            stop_router(number)
            if down_s < math.inf:
                loop.call_later(down_s, start_router, number)
        await asyncio.sleep(rng.expovariate(fleet.demand_per_s))
        numbers = sorted(routers)
        weights = [(1 + number) ** -UNEVENNESS for number in numbers]
        router = routers[rng.choices(numbers, weights)[0]]
        tasks.append(asyncio.create_task(serve(len(tasks), router, now_s)))
    sent_bytes = max(network.sent_bytes.values(), default=0)
    result.sent_bytes_per_s = sent_bytes / loop.time()
    await asyncio.gather(*tasks)
    for number in list(routers):
        stop_router(number)
    await asyncio.gather(*stopped, return_exceptions=True)
    return result


def replay_limits(fleet, seed, duration_s=8.0):
    """Replay one random trace.

    :param fleet: sizes of the fleet, and what happens to it.
    :param seed: seed of all random draws.
    :param duration_s: time in seconds that is measured.
    :returns: the measurements.
    """
    with seeded(seed):
        return run_on_virtual_clock(_run(fleet, seed, duration_s))
