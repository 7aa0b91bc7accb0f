"""Decision where a router sends a request, without reserving anything."""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bilberryspring.capability.routing import IncomingRequest, PoolLimits
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName
from bilberryspring.policy.direct_admission import (
    compute_capacity_share,
    compute_router_limit,
)
from bilberryspring.policy.direct_placement import (
    PREFERRED_HOMES,
    SAMPLED_ENGINES,
    ServerCandidate,
    choose_server,
    compute_home_wait,
    compute_load_limit,
    compute_off_home_penalties,
    compute_unsampled_penalties,
    draw_uniform,
)
from bilberryspring.policy.request_cost import (
    StartCoefficients,
)
from bilberryspring.policy.server_eligibility import Exclusion
from bilberryspring.process.credit_exchange import CreditExchange, CreditState
from bilberryspring.process.server_table import (
    NO_HOLDERS,
    ServerRecord,
    ServerTable,
)
from bilberryspring.request.cost_estimates import CostEstimates, make_cost_estimates
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.recent_usage import RecentUsage, make_recent_usage
from bilberryspring.request.reservations import (
    Reservation,
    plan_reservation,
    predict_engine_start_s,
    predict_load_delay_s,
    rank_home_engines,
)
from bilberryspring.request.server_exclusions import (
    list_allowed,
    make_no_server_refusal,
)

__all__ = [
    "INITIAL_SERVICE_TIME_S",
    "MAX_REQUESTS_PER_SLOT",
    "MIN_RETRY_AFTER_S",
    "RETRY_AFTER_SPREAD",
    "PlacementDecision",
    "PlacementPlanner",
    "describe_pauses",
    "make_pause_refusal",
    "make_placement_planner",
]

# Initial estimate for plain services, replaced by the mean of measured times.
INITIAL_SERVICE_TIME_S = 0.1
# Bound on the requests at a plain server: enough that the server never idles, while a
# request that queues there waits for at most two others in its slot.
MAX_REQUESTS_PER_SLOT = 3
# Share of a plain server's and of an engine's capacity up to which requests of a
# workspace with far more recent usage than others are placed. Half of the bound still
# keeps the slots of a plain server busy.
HEAVY_WORKSPACE_SERVICE_SHARE = 0.5
HEAVY_WORKSPACE_ENGINE_SHARE = 0.85
# Part of the load factor that one router uses where it can; the rest is a margin for
# requests which other routers send before their next reports arrive.
LOAD_FACTOR_SHARE = 0.65
MIN_RETRY_AFTER_S = 0.05
# Upper bound of the random factor on the predicted wait that spreads the retries of
# callers which are refused together.
RETRY_AFTER_SPREAD = 1.5
# When a caller may come back for which no server is left, but some are listed.
NO_SERVER_RETRY_AFTER_S = 0.5
# Servers that were passed over for one reason and that a log line names.
MAX_NAMED_SERVERS = 3


@dataclass(slots=True)
class PlacementDecision:
    """Where a request would go now, and why.

    :param candidates: servers with room for the request, with their predicted start and
        their penalty.
    :param exclusions: reason of each server that was passed over, by id.
    :param penalties_s: placement penalty of each server that was considered, in seconds
        by id. It is part of a candidate's predicted start.
    :param reservation: what the request needs at the chosen server, ``None`` if none
        was chosen.
    :param credit: state of the credit for the chosen server.
    :param failure: why no server was chosen, ``None`` if one was.
    :param ready: servers of the pool that accept new work.
    :param has_servers_without_credit: whether servers were passed over since they limit
        the rate of requests.
    """

    candidates: list[ServerCandidate] = field(default_factory=list)
    exclusions: dict[InstanceId, Exclusion] = field(default_factory=dict)
    penalties_s: Mapping[InstanceId, float] = field(default_factory=dict)
    reservation: Reservation | None = None
    credit: CreditState = CreditState.UNLIMITED
    failure: Failure | None = None
    ready: list[ServerRecord] = field(default_factory=list)
    has_servers_without_credit: bool = False


class PlacementPlanner:
    """Decides where requests go, from a router's view of the servers.

    :param servers: this router's view of the state of the servers.
    :param credits: credit for servers that limit the rate of requests.
    :param zone: the router's availability zone.
    :param policy: registered name of the policy that chooses a server.
    :param read_clock: clock of the requests' deadlines, in seconds.
    :ivar load_factor: highest load of a server, as a multiple of the mean load.
    :ivar router_count: number of routers that send to the same servers.
    :ivar usage: recent usage of each pool by workspaces.
    :ivar costs: what requests cost, learned from responses.
    :ivar mean_service_s: mean time to a complete response in seconds, by pool.
    """

    def __init__(
        self,
        servers: ServerTable,
        credits: CreditExchange,
        zone: AvailabilityZone,
        policy: str,
        read_clock: Callable[[], float],
    ):
        self._servers = servers
        self._read_clock = read_clock
        self._credits = credits
        self._zone = zone
        self._policy = policy
        self.load_factor = 1.0
        self.router_count = 1
        self.usage: defaultdict[PoolName, RecentUsage] = defaultdict(make_recent_usage)
        self.mean_service_s: dict[PoolName, float] = {}
        self.costs: CostEstimates = make_cost_estimates(read_clock)

    def get_mean_service_s(self, pool: PoolName) -> float:
        """Return the mean time to a complete response in a pool.

        :param pool: name of the pool.
        :returns: seconds; an initial estimate until a response was measured.
        """
        return self.mean_service_s.get(pool, INITIAL_SERVICE_TIME_S)

    def decide(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        now_s: float,
        may_ask: bool = False,
    ) -> PlacementDecision:
        """Decide where a request goes; nothing is reserved, asked or counted.

        :param request: the request.
        :param pool: pool that serves it.
        :param now_s: monotonic time.
        :param may_ask: whether a server may be chosen for which credit must be asked.
        """
        ready = self._servers.list_ready(pool.name)
        decision = PlacementDecision(ready=ready)
        allowed = list_allowed(ready, request)
        if len(allowed) < len(ready):
            _exclude(decision, ready, allowed, Exclusion.REGION)
        untried = [
            r for r in allowed if r.server.server_id not in request.tried_server_ids
        ]
        if len(untried) < len(allowed):
            _exclude(decision, allowed, untried, Exclusion.TRIED)
        if not untried:
            decision.failure = make_no_server_refusal(
                self._servers, pool.name, request, NO_SERVER_RETRY_AFTER_S
            )
            return decision
        accepting = [r for r in untried if not r.pause.is_active(now_s)]
        if len(accepting) < len(untried):
            _exclude(decision, untried, accepting, Exclusion.PAUSED)
        if not accepting:
            decision.failure = make_pause_refusal(pool.name, ready, now_s)
            return decision
        credit = self._find_credit(ready)
        sendable = [r for r in accepting if _has_credit(credit, r, may_ask)]
        if len(sendable) < len(accepting):
            _exclude(decision, accepting, sendable, Exclusion.LIMITED)
        if not sendable:
            decision.failure = make_failure(
                ErrorKind.OVERLOADED,
                f"no credit for any server: {self.describe_limits(pool)}",
            )
            return decision
        healthy = [r for r in sendable if not r.is_avoided(now_s)]
        records = healthy or sendable
        if len(records) < len(sendable):
            _exclude(decision, sendable, records, Exclusion.SUSPECTED)
        listed = list_allowed(self._servers.list_all(pool.name), request)
        homes = rank_home_engines(request.prompt, listed)
        usable_homes = [
            home
            for home in homes
            if home.accepts_work
            and not home.is_avoided(now_s)
            and not home.pause.is_active(now_s)
            and home.server.server_id not in request.tried_server_ids
        ]
        # A home without credit keeps its rank: as credit comes and goes, the chat stays
        # on as few engines as before.
        preferred_homes = [
            home
            for home in usable_homes[:PREFERRED_HOMES]
            if _has_credit(credit, home, may_ask)
        ] or [home for home in usable_homes if _has_credit(credit, home, may_ask)][:1]
        decision.penalties_s = self._compute_start_penalties_s(
            request, pool, records, homes, preferred_homes, credit, now_s
        )
        reservations = self._find_candidates(
            decision, request, pool, records, homes, now_s
        )
        if self._waits_for_home(request, preferred_homes, reservations):
            decision.failure = make_failure(
                ErrorKind.OVERLOADED, "the home engines are at capacity"
            )
            return decision
        without_ids = {
            each
            for each, state in credit.items()
            if state is CreditState.DENIED
            or (state is CreditState.UNKNOWN and not may_ask)
        }
        decision.has_servers_without_credit = bool(without_ids)
        chosen = self._choose(decision, without_ids, now_s)
        if isinstance(chosen, Failure):
            decision.failure = chosen
            return decision
        decision.reservation = reservations[chosen.server_id]
        decision.credit = credit.get(chosen.server_id, CreditState.UNLIMITED)
        return decision

    def list_unlisted(
        self, pool: PoolName, decision: PlacementDecision
    ) -> list[InstanceId]:
        """Return the servers of a pool that accept no new work.

        :param pool: name of the pool.
        :param decision: a decision on a request to that pool.
        """
        ready_ids = {record.server.server_id for record in decision.ready}
        return [
            record.server.server_id
            for record in self._servers.list_all(pool)
            if record.server.server_id not in ready_ids
        ]

    def _find_candidates(
        self,
        decision: PlacementDecision,
        request: IncomingRequest,
        pool: PoolLimits,
        records: list[ServerRecord],
        homes: list[ServerRecord],
        now_s: float,
    ) -> dict[InstanceId, Reservation]:
        """Add the servers with room to a decision.

        :returns: what the request needs at each of them, by id.
        """
        is_heavy = self.usage[pool.name].is_heavy(request.workspace, now_s)
        service_s = self.get_mean_service_s(pool.name)
        coefficients = self.costs.get_coefficients(pool.name)
        is_plain = pool.engine is None
        cost = None if is_plain else self._predict_cost(request, pool)
        others = list_allowed(decision.ready, request)
        holders = NO_HOLDERS
        if cost is not None and pool.engine.can_fetch:
            # Holders may be in regions where the request may not run.
            if not request.is_bound_to_regions:
                holders = self._servers.find_part_holders(request.prompt, now_s)
        reservations = {}
        for record in records:
            server = record.server
            server_id = server.server_id
            if not record.pause.allows_request(now_s):
                decision.exclusions[server_id] = Exclusion.PAUSED
                continue
            if cost is None:
                reservation = Reservation(record, 0, 0, service_s)
            else:
                reservation = plan_reservation(
                    record,
                    request.prompt,
                    pool.engine,
                    homes,
                    others,
                    now_s,
                    *cost,
                    holders,
                )
            if not self._has_capacity(record, reservation, request, pool, is_heavy):
                decision.exclusions[server_id] = Exclusion.NO_ROOM
                continue
            requests = record.requests + record.peer_load.requests
            slowness = record.compute_slowness(now_s)
            if is_plain:
                slowness *= record.predict_work_time_ratio(now_s)
                slowness *= self._servers.cold.get_start_factor(record.server)
                start_s = (requests + 1) / max(server.slots, 1) * service_s
            else:
                start_s = predict_engine_start_s(reservation)
                if cost is None:
                    start_s += predict_load_delay_s(record, coefficients)
            start_s = start_s * slowness + decision.penalties_s[server_id]
            is_near = server.availability_zone == self._zone
            reservations[server_id] = reservation
            decision.candidates.append(
                ServerCandidate(server_id, requests, start_s, is_near)
            )
        return reservations

    def describe_limits(self, pool: PoolLimits) -> str:
        """Name the servers of a pool that take the fewest requests per second.

        :param pool: the pool.
        """
        rates = {
            record.server.server_id: rate_per_s
            for record in self._servers.list_ready(pool.name)
            if (rate_per_s := self._servers.rates.find_rate_per_s(record.server))
        }
        named = heapq.nsmallest(MAX_NAMED_SERVERS, rates, key=rates.get)
        return ", ".join(f"{each} at {rates[each]:.2f}/s" for each in named)

    def _find_credit(self, ready: list[ServerRecord]) -> dict[str, CreditState]:
        """Return whether requests may be sent to servers that limit their rate."""
        if not len(self._servers.rates):
            return {}
        states = {
            record.server.server_id: self._credits.get_state(record.server)
            for record in ready
        }
        return {
            server_id: state
            for server_id, state in states.items()
            if state is not CreditState.UNLIMITED
        }

    def _choose(
        self,
        decision: PlacementDecision,
        without_credit: set[str],
        now_s: float,
    ) -> ServerCandidate | Failure:
        """Choose among the servers with room so that the load bound holds for the pool.

        :param decision: the decision with its candidates.
        :param without_credit: ids of those to which no more requests may be sent.
        :param now_s: monotonic time.
        """
        views, ready = decision.candidates, decision.ready
        if not views:
            return make_failure(
                ErrorKind.OVERLOADED, "no server of the pool has free capacity"
            )
        usable, failing = [], []
        for record in ready:
            is_failing = (
                record.pause.is_active(now_s)
                or record.is_avoided(now_s)
                or record.server.server_id in without_credit
            )
            (failing if is_failing else usable).append(record.total_requests)
        limit = compute_load_limit(self.load_factor, usable, failing)
        usable_limit = compute_load_limit(
            self.load_factor * LOAD_FACTOR_SHARE, usable or failing
        )
        chosen = choose_server(self._policy, views, min(limit, usable_limit))
        chosen = chosen or choose_server(self._policy, views, limit)
        if chosen is not None:
            return chosen
        decision.exclusions |= dict.fromkeys(
            (view.server_id for view in views), Exclusion.LOAD_BOUND
        )
        least = min(view.requests for view in views)
        service_s = self.get_mean_service_s(ready[0].server.pool)
        return make_failure(
            ErrorKind.LOAD_BOUND,
            f"{len(views)} of {len(ready)} servers have room, each with {least:.1f}"
            f" requests or more where the load bound is {limit:.1f}",
            retry_after_s=service_s * (least - limit) / least,
        )

    def _waits_for_home(
        self,
        request: IncomingRequest,
        homes: list[ServerRecord],
        reservations: Mapping[str, Reservation],
    ) -> bool:
        """Return whether a request should wait for capacity of a home engine."""
        if request.prompt is None or not reservations:
            return False
        if not homes or any(home.server.server_id in reservations for home in homes):
            return False
        base_s = self.costs.get_coefficients(homes[0].server.pool).base_s
        allowed_s = compute_home_wait(
            request.prompt.shared_tokens, request.route.target_s, base_s
        )
        return self._read_clock() - request.received_s < allowed_s

    def _compute_start_penalties_s(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        records: list[ServerRecord],
        homes: list[ServerRecord],
        preferred_homes: list[ServerRecord],
        credit: dict[str, CreditState],
        now_s: float,
    ) -> dict[str, float]:
        server_ids = [record.server.server_id for record in records]
        service_s = self.get_mean_service_s(pool.name)
        if pool.engine is None:
            return compute_unsampled_penalties(
                request.request_id, server_ids, service_s
            )
        penalties_s = compute_off_home_penalties(
            [home.server.server_id for home in preferred_homes],
            {each.server.server_id: each.compute_slowness(now_s) for each in records},
            0 if request.prompt is None else request.prompt.shared_tokens,
        )
        home_ids = {home.server.server_id for home in homes}
        others = [each for each in server_ids if each not in home_ids]
        # Credit of an engine is left to the chats whose home it is.
        unlimited = [each for each in others if each not in credit]
        unsampled_s = dict.fromkeys(others, service_s)
        unsampled_s |= compute_unsampled_penalties(
            request.request_id, unlimited, service_s, SAMPLED_ENGINES
        )
        return {
            each: penalty_s + unsampled_s.get(each, 0.0)
            for each, penalty_s in penalties_s.items()
        }

    def _has_capacity(
        self,
        record: ServerRecord,
        reservation: Reservation,
        request: IncomingRequest,
        pool: PoolLimits,
        is_heavy: bool,
    ) -> bool:
        if pool.engine is None:
            limit = record.server.slots * MAX_REQUESTS_PER_SLOT
            limit *= HEAVY_WORKSPACE_SERVICE_SHARE if is_heavy else 1.0
            own_limit = compute_router_limit(
                limit,
                record.peer_reported_requests,
                record.own_requests_at_report,
                self.router_count,
            )
            chance = draw_uniform(request.request_id, record.server.server_id)
            return (
                record.requests + chance < own_limit and record.total_requests < limit
            )
        capacity_share = compute_capacity_share(request.route.rank_order)
        capacity_share *= HEAVY_WORKSPACE_ENGINE_SHARE if is_heavy else 1.0
        required_tokens = (
            record.held_tokens + record.peer_load.held_tokens + reservation.held_tokens
        )
        if (
            record.requests
            and required_tokens > pool.engine.cache_tokens * capacity_share
        ):
            return False
        return record.total_requests < pool.engine.slots * capacity_share

    def _predict_cost(
        self, request: IncomingRequest, pool: PoolLimits
    ) -> tuple[StartCoefficients, int] | None:
        """Return the coefficients for a request to an engine, and its output tokens."""
        if request.prompt is None:
            return None
        return (
            self.costs.find_coefficients(request, pool.name),
            self.costs.predict_output_tokens(request),
        )


def _has_credit(
    credit: dict[str, CreditState], record: ServerRecord, may_ask: bool
) -> bool:
    """Return whether a request may be sent to a server, or credit be asked for it.

    :param credit: state of each server that limits the rate of requests, by id.
    """
    state = credit.get(record.server.server_id, CreditState.UNLIMITED)
    if state is CreditState.UNKNOWN:
        return may_ask
    return state is not CreditState.DENIED


def _exclude(
    decision: PlacementDecision,
    before: list[ServerRecord],
    kept: list[ServerRecord],
    reason: Exclusion,
) -> None:
    kept_ids = {record.server.server_id for record in kept}
    for record in before:
        if record.server.server_id not in kept_ids:
            decision.exclusions[record.server.server_id] = reason


def make_pause_refusal(
    pool: PoolName, ready: list[ServerRecord], now_s: float
) -> Failure:
    """Refuse a request for which no server is left that wants any.

    :param pool: name of the pool.
    :param ready: its servers that accept new work.
    :param now_s: monotonic time.
    """
    paused = [record for record in ready if record.pause.is_active(now_s)]
    retry_after_s = NO_SERVER_RETRY_AFTER_S
    if len(paused) == len(ready):
        soonest_s = min(record.pause.until_s for record in paused) - now_s
        retry_after_s = max(soonest_s, MIN_RETRY_AFTER_S) * random.uniform(
            1.0, RETRY_AFTER_SPREAD
        )
    return make_failure(
        ErrorKind.NO_INSTANCE,
        f"{len(paused)} of {len(ready)} servers of pool {pool} want no requests"
        f" ({describe_pauses(paused, now_s)}), and no other is left to try",
        retry_after_s=retry_after_s,
    )


def describe_pauses(paused: list[ServerRecord], now_s: float) -> str:
    """Name the servers that want no requests for the longest time.

    :param paused: servers in a pause.
    :param now_s: monotonic time.
    """
    if not paused:
        return ""
    named = heapq.nlargest(MAX_NAMED_SERVERS, paused, key=lambda r: r.pause.until_s)
    return ", ".join(
        f"{record.server.server_id} for {record.pause.until_s - now_s:.2f} s"
        for record in named
    )


def make_placement_planner(
    servers: ServerTable,
    credits: CreditExchange,
    zone: AvailabilityZone,
    policy: str,
    read_clock: Callable[[], float],
) -> PlacementPlanner:
    """Return a planner that knows nothing of the cost of requests yet.

    :param servers: this router's view of the state of the servers.
    :param credits: credit for servers that limit the rate of requests.
    :param zone: the router's availability zone.
    :param policy: registered name of the policy that chooses a server.
    :param read_clock: clock of the requests' deadlines, in seconds.
    """
    return PlacementPlanner(servers, credits, zone, policy, read_clock)
