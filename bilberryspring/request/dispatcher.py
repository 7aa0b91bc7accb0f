"""Queue of a router's requests that wait for capacity of a backend server."""

import asyncio
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryspring.capability.routing import (
    BackendServer,
    IncomingRequest,
    PoolLimits,
)
from bilberryspring.identifiers import AvailabilityZone, PoolName
from bilberryspring.policy.direct_admission import (
    QueueView,
    compute_capacity_share,
    compute_max_wait,
    compute_router_limit,
    predict_wait,
)
from bilberryspring.policy.direct_placement import (
    DEFAULT_DIRECT_PLACEMENT_POLICY,
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
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.credit_exchange import (
    CreditExchange,
    CreditState,
    ServerKey,
    make_credit_exchange,
)
from bilberryspring.process.server_table import (
    NO_HOLDERS,
    ServerRecord,
    ServerTable,
)
from bilberryspring.request.decaying_sum import DecayingSum
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.load_shedding import LoadShedder, make_load_shedder
from bilberryspring.request.recent_usage import (
    RecentUsage,
    make_recent_usage,
)
from bilberryspring.request.reservations import (
    ENGINE_BASE_LATENCY_S,
    Reservation,
    plan_reservation,
    predict_engine_start_s,
    rank_home_engines,
)

__all__ = ["Dispatcher", "make_dispatcher"]

# Initial estimate for plain services, replaced by the mean of measured times.
INITIAL_SERVICE_TIME_S = 0.1
SERVICE_TIME_WEIGHT = 0.05
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
MAX_RETRY_AFTER_S = 600.0
# How often waiting requests are placed again while no request of this router ends:
# capacity also becomes free through requests of the other routers.
REDISPATCH_INTERVAL_S = 0.03
# When a caller may come back for which no server is left, but some are listed.
NO_SERVER_RETRY_AFTER_S = 0.5
# Servers that were passed over for one reason and that a log line names.
MAX_NAMED_SERVERS = 3
# Servers that are asked about credit for one request before it goes elsewhere.
MAX_QUESTIONS = 2
# Time over which the requests to servers that limit their rate are averaged.
LIMITED_RATE_TIME_S = 4.0
# Waiting requests that are tried at a time; the others wait behind these.
MAX_DISPATCH_SCAN = 8
# Upper bound of the random factor on the predicted wait that spreads the retries of
# callers which are refused together.
RETRY_AFTER_SPREAD = 1.5


@dataclass(order=True, slots=True)
class _WaitingRequest:
    sort_key: tuple[float, ...]
    request: IncomingRequest = field(compare=False)
    pool: PoolLimits = field(compare=False)
    result: "asyncio.Future[Reservation | Failure]" = field(compare=False)


class Dispatcher:
    """Assigns requests to servers, queueing those that find no free capacity.

    :param servers: this router's view of the state of the servers.
    :param zone: the router's availability zone.
    :param load_factor: highest load of a server, as a multiple of the mean load.
    :param read_clock: clock of the requests' deadlines, in seconds.
    :param policy: registered name of the policy that chooses a server.
    :param credits: credit for servers that limit the rate of requests.
    :ivar routers: number of routers that send to the same servers.
    """

    def __init__(
        self,
        servers: ServerTable,
        zone: AvailabilityZone,
        load_factor: float,
        read_clock: Callable[[], float] = read_boot_time_s,
        policy: str = DEFAULT_DIRECT_PLACEMENT_POLICY,
        credits: CreditExchange | None = None,
    ):
        self._read_clock = read_clock
        self._credits = credits or make_credit_exchange("", servers.limits)
        self._credits.credit_callbacks.append(self._use_credit)
        self._limited_rates: defaultdict[PoolName, DecayingSum] = defaultdict(
            lambda: DecayingSum(LIMITED_RATE_TIME_S)
        )
        self._policy = policy
        self._servers = servers
        self._zone = zone
        self.set_load_factor(load_factor)
        self._waiting: dict[PoolName, list[_WaitingRequest]] = {}
        self._redispatches: dict[PoolName, asyncio.TimerHandle] = {}
        self._sequence_numbers = itertools.count()
        self._mean_service_s: dict[PoolName, float] = {}
        self._usage: defaultdict[PoolName, RecentUsage] = defaultdict(make_recent_usage)
        self._shedders: defaultdict[PoolName, LoadShedder] = defaultdict(
            make_load_shedder
        )
        self.router_count = 1

    def set_load_factor(self, load_factor: float) -> None:
        """Set the bound on each server's load.

        :param load_factor: highest load of a server, as a multiple of the mean load.
        """
        self._load_factor = load_factor

    async def acquire(
        self, request: IncomingRequest, pool: PoolLimits, must_end_s: float
    ) -> Reservation | Failure:
        """Reserve capacity on a server, waiting for it if necessary.

        :param request: the request; servers where it was tried already are excluded.
        :param pool: pool that serves the request.
        :param must_end_s: time on the deadline clock by which the response must end.
        :returns: the reservation, which the caller passes to :meth:`release`, or the
            failure if there is none.
        """
        queue = self._waiting.setdefault(pool.name, [])
        refusal = self._refuse_in_pause(pool.name)
        if refusal is not None:
            return refusal
        priority_key = self._make_priority_key(request, pool)
        refusal = self._shed_load(request, pool, priority_key)
        if refusal is not None:
            return refusal
        if queue and pool.engine is not None:
            # Requests that wait for their home engines don't hold up others, but those
            # that wait for any engine come first.
            self.dispatch_waiting(pool.name)
        may_pass = not queue or priority_key < queue[0].sort_key[:3]
        min_wait_s = 0.0
        if may_pass or pool.engine is not None:
            found = await self._try_reserve_with_credit(request, pool)
            if isinstance(found, Reservation):
                return found
            if found.kind is ErrorKind.NO_INSTANCE:
                return found
            if found.kind is ErrorKind.LOAD_BOUND:
                min_wait_s = found.retry_after_s
        refusal = self._predict_refusal(
            request, pool, priority_key, must_end_s, min_wait_s
        )
        if refusal is not None:
            return refusal
        waiting = _WaitingRequest(
            (*priority_key, next(self._sequence_numbers)),
            request,
            pool,
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(queue, waiting)
        self._schedule_redispatch(pool.name)
        found = None
        try:
            service_s = self.get_mean_service_s(pool.name)
            wait_s = must_end_s - self._read_clock() - service_s
            view = self._view_queue(request, pool, priority_key, must_end_s)
            if not view.pool_slots:
                # No end of another request makes room, only credit does.
                wait_s = min(wait_s, compute_max_wait(view))
            async with asyncio.timeout(max(0.0, wait_s)):
                found = await waiting.result
        except TimeoutError:
            return self._make_timeout_refusal(request, pool, priority_key, must_end_s)
        finally:
            if found is None:
                self._discard_waiting(waiting, queue)
        return found

    def acquire_now(
        self, request: IncomingRequest, pool: PoolLimits, allows_avoided: bool = False
    ) -> Reservation | Failure:
        """Reserve capacity on a server without waiting.

        :param request: the request; servers where it was tried already are excluded.
        :param pool: pool that serves the request.
        :param allows_avoided: whether a server that is avoided is better than none.
        :returns: as :meth:`acquire`.
        """
        queue = self._waiting.get(pool.name)
        if queue and pool.engine is None:
            if self._make_priority_key(request, pool) > queue[0].sort_key[:3]:
                reason = "more urgent requests wait for capacity"
                return make_failure(ErrorKind.OVERLOADED, reason)
        found = self._try_reserve(request, pool)
        if isinstance(found, Reservation) and not allows_avoided:
            if found.record.is_avoided(asyncio.get_running_loop().time()):
                self.release(found)
                reason = "every server that is left to try is avoided"
                return make_failure(ErrorKind.NO_INSTANCE, reason)
        return found

    def _discard_waiting(
        self, waiting: _WaitingRequest, queue: list[_WaitingRequest]
    ) -> None:
        if waiting in queue:
            queue.remove(waiting)
            heapq.heapify(queue)
        # Capacity may have been assigned just before the cancellation.
        if waiting.result.done() and not waiting.result.cancelled():
            reservation = waiting.result.result()
            if isinstance(reservation, Reservation):
                self.release(reservation)

    def release(self, reservation: Reservation, taken_s: float | None = None) -> None:
        """Release reserved capacity and assign it to waiting requests.

        Credit is given back if the request was not sent.

        :param reservation: the reservation.
        :param taken_s: time from sending the request to the end of a complete response,
            ``None`` if there was none. It updates the pool's mean service time.
        """
        reservation.mark_prefill_done()
        reservation.settle_trial(is_accepted=taken_s is not None)
        record = reservation.record
        record.change_requests(-1, asyncio.get_running_loop().time())
        record.held_tokens -= reservation.held_tokens
        if reservation.has_credit and not reservation.is_sent:
            self._credits.return_credit(record.server)
        pool = record.server.pool
        if taken_s is not None:
            mean_s = self._mean_service_s.get(pool, INITIAL_SERVICE_TIME_S)
            self._mean_service_s[pool] = mean_s + SERVICE_TIME_WEIGHT * (
                taken_s - mean_s
            )
        self.dispatch_waiting(pool)

    def dispatch_waiting(self, pool: PoolName) -> None:
        """Assign servers to the waiting requests of a pool, the most urgent first.

        A request that waits for one of its home engines lets others pass, since these
        have other homes.

        :param pool: name of the pool.
        """
        queue = self._waiting.get(pool)
        if not queue:
            return
        for waiting in heapq.nsmallest(MAX_DISPATCH_SCAN, queue):
            if waiting.result.done():
                continue
            found = self._try_reserve(waiting.request, waiting.pool)
            if isinstance(found, Failure) and found.kind is not ErrorKind.NO_INSTANCE:
                if waiting.pool.engine is None and not waiting.request.tried_server_ids:
                    break
                continue
            waiting.result.set_result(found)
        for waiting in queue:
            refusal = self._refuse_in_pause(pool)
            if refusal is None:
                break
            if not waiting.result.done():
                waiting.result.set_result(refusal)
        open_requests = [each for each in queue if not each.result.done()]
        if len(open_requests) < len(queue):
            queue[:] = open_requests
            heapq.heapify(queue)

    def _schedule_redispatch(self, pool: PoolName) -> None:
        if pool not in self._redispatches:
            self._redispatches[pool] = asyncio.get_running_loop().call_later(
                REDISPATCH_INTERVAL_S, self._redispatch, pool
            )

    def _redispatch(self, pool: PoolName) -> None:
        del self._redispatches[pool]
        self.dispatch_waiting(pool)
        if self._waiting.get(pool):
            self._ask_for_waiting(pool)
            self._schedule_redispatch(pool)

    def _use_credit(self, key: ServerKey) -> None:
        """Send waiting requests to a server for which credit has arrived."""
        record = self._servers.find_by_hash(key[0])
        if record is not None:
            self.dispatch_waiting(record.server.pool)

    def _ask_for_waiting(self, pool: PoolName) -> None:
        """Ask for credit for as many servers as requests wait."""
        now_s = asyncio.get_running_loop().time()
        questions = len(self._waiting[pool]) if len(self._servers.limits) else 0
        for record in self._servers.list_ready(pool):
            if questions <= 0:
                break
            if record.pause.is_active(now_s) or record.is_avoided(now_s):
                continue
            if self._credits.get_state(record.server) is not CreditState.UNKNOWN:
                continue
            questions -= 1
            if not self._credits.is_asking(record.server):
                self._credits.ask(record.server)

    def dispatch_all_waiting(self) -> None:
        """Assign servers to waiting requests of all pools after a state update."""
        for pool in list(self._waiting):
            self.dispatch_waiting(pool)

    def get_mean_service_s(self, pool: PoolName) -> float:
        """Return the mean time to a complete response in a pool.

        :param pool: name of the pool.
        :returns: seconds; an initial estimate until a response was measured.
        """
        return self._mean_service_s.get(pool, INITIAL_SERVICE_TIME_S)

    def predict_return_s(self, pool: PoolName) -> float:
        """Return when a request that a server refused may come back.

        :param pool: name of the pool.
        :returns: seconds; while no server of the pool wants requests, not earlier than
            the first of them does.
        """
        refusal = self._refuse_in_pause(pool)
        if refusal is not None:
            return refusal.retry_after_s
        return self.get_mean_service_s(pool)

    def _make_priority_key(
        self, request: IncomingRequest, pool: PoolLimits
    ) -> tuple[int, int, bool]:
        """Return the sort key of a request; heavy workspaces come last in their rank.

        A finer order would let later requests overtake queued ones, whose predicted
        waits would then be wrong.
        """
        now_s = asyncio.get_running_loop().time()
        is_heavy = self._usage[pool.name].is_heavy(request.workspace, now_s)
        return request.rank_order, request.route.rank_order, is_heavy

    def _shed_load(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        priority_key: tuple[int, int, bool],
    ) -> Failure | None:
        """Refuse a request beyond the share that the routers admit to its pool."""
        if request.tried_server_ids:
            return None
        shedder = self._shedders[pool.name]
        now_s = asyncio.get_running_loop().time()
        if shedder.is_due(now_s):
            accepting = self._list_accepting(pool.name)
            slots = sum(self._count_usable_slots(record, pool) for record in accepting)
            requests = sum(record.total_requests for record in accepting)
            is_engine = pool.engine is not None
            shedder.adjust(requests / max(slots, 1), now_s, is_engine)
        draw = draw_uniform(request.request_id, pool.name)
        if shedder.admits(priority_key, draw, now_s):
            return None
        wait_s = self.get_mean_service_s(pool.name) / shedder.admitted_share
        return make_failure(
            ErrorKind.OVERLOADED,
            f"the servers are overloaded and admit {shedder.admitted_share:.2f}"
            " of the requests",
            retry_after_s=max(wait_s, MIN_RETRY_AFTER_S)
            * random.uniform(1.0, RETRY_AFTER_SPREAD),
        )

    def _predict_refusal(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        priority_key: tuple[int, int, bool],
        must_end_s: float,
        min_wait_s: float = 0.0,
    ) -> Failure | None:
        """Refuse a request whose wait is not worth it.

        :param min_wait_s: time in seconds until a server with room is within the load
            bound.
        """
        view = self._view_queue(request, pool, priority_key, must_end_s)
        wait_s = max(predict_wait(view), min_wait_s)
        allowed_s = compute_max_wait(view)
        if wait_s <= allowed_s:
            return None
        limits = self._describe_limits(pool)
        return make_failure(
            ErrorKind.OVERLOADED,
            f"predicted wait {wait_s:.2f} s is above {allowed_s:.2f} s"
            + (f"; limited: {limits}" if limits else ""),
            retry_after_s=_spread_retry_after(wait_s),
        )

    def _make_timeout_refusal(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        priority_key: tuple[int, int, bool],
        must_end_s: float,
    ) -> Failure:
        """Refuse a request whose wait was longer than predicted."""
        reason = "no server had free capacity in time for a complete response"
        view = self._view_queue(request, pool, priority_key, must_end_s)
        if view.pool_slots:
            retry_after_s = MIN_RETRY_AFTER_S
        else:
            reason = f"no credit in time; limited: {self._describe_limits(pool)}"
            retry_after_s = _spread_retry_after(predict_wait(view))
        return make_failure(ErrorKind.OVERLOADED, reason, retry_after_s=retry_after_s)

    def _view_queue(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        priority_key: tuple[int, int, bool],
        must_end_s: float,
    ) -> QueueView:
        service_s = self.get_mean_service_s(pool.name)
        unlimited, limited_per_s = [], 0.0
        for record in self._list_accepting(pool.name):
            rate_per_s = self._servers.limits.find_rate_per_s(record.server)
            if rate_per_s is None:
                unlimited.append(record)
            else:
                slots_per_s = max(record.server.slots, 1) / service_s
                limited_per_s += min(rate_per_s, slots_per_s)
        if limited_per_s:
            # The demand at the routers is uneven, and so is what they get.
            own_per_s = self._limited_rates[pool.name].rate(
                asyncio.get_running_loop().time()
            )
            limited_per_s = max(limited_per_s / self.router_count, own_per_s)
        return QueueView(
            queued_ahead=sum(
                each.sort_key[:3] <= priority_key for each in self._waiting[pool.name]
            ),
            running_requests=sum(record.requests for record in unlimited),
            pool_slots=sum(max(record.server.slots, 1) for record in unlimited),
            router_count=self.router_count,
            service_s=service_s,
            target_event_s=service_s if pool.engine is None else ENGINE_BASE_LATENCY_S,
            target_s=request.route.target_s,
            remaining_s=must_end_s - self._read_clock(),
            limited_per_s=limited_per_s,
        )

    def _count_usable_slots(self, record: ServerRecord, pool: PoolLimits) -> float:
        """Return how many slots of a server requests can occupy within its limit."""
        slots = pool.engine.slots if pool.engine else record.server.slots
        rate_per_s = self._servers.limits.find_rate_per_s(record.server)
        if rate_per_s is None:
            return slots
        return min(slots, rate_per_s * self.get_mean_service_s(pool.name))

    def _describe_limits(self, pool: PoolLimits) -> str:
        """Name the servers of a pool that take the fewest requests per second."""
        rates = {
            record.server.server_id: rate_per_s
            for record in self._servers.list_ready(pool.name)
            if (rate_per_s := self._servers.limits.find_rate_per_s(record.server))
        }
        named = heapq.nsmallest(MAX_NAMED_SERVERS, rates, key=rates.get)
        return ", ".join(f"{each} at {rates[each]:.2f}/s" for each in named)

    def _list_accepting(self, pool: PoolName) -> list[ServerRecord]:
        """Return the servers of a pool that want requests of this router."""
        now_s = asyncio.get_running_loop().time()
        return [
            record
            for record in self._servers.list_ready(pool)
            if not record.pause.is_active(now_s)
        ]

    def _refuse_in_pause(self, pool: PoolName) -> Failure | None:
        """Refuse a request while no server of its pool wants any."""
        now_s = asyncio.get_running_loop().time()
        ready = self._servers.list_ready(pool)
        if not ready or any(not record.pause.is_active(now_s) for record in ready):
            return None
        return self._make_pause_refusal(pool, ready, now_s)

    def _make_pause_refusal(
        self, pool: PoolName, ready: list[ServerRecord], now_s: float
    ) -> Failure:
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
            f" ({_describe_pauses(paused, now_s)}), and no other is left to try",
            retry_after_s=retry_after_s,
        )

    async def _try_reserve_with_credit(
        self, request: IncomingRequest, pool: PoolLimits
    ) -> Reservation | Failure:
        """Reserve capacity, asking for credit if the chosen server limits the rate."""
        for _ in range(MAX_QUESTIONS):
            found = self._try_reserve(request, pool, may_ask=True)
            if not isinstance(found, BackendServer):
                return found
            await self._credits.request(found)
        return self._try_reserve(request, pool)

    def _try_reserve(
        self, request: IncomingRequest, pool: PoolLimits, may_ask: bool = False
    ) -> Reservation | Failure | BackendServer:
        """Reserve capacity on a server.

        :param may_ask: whether a server may be chosen for which credit must be asked.
        :returns: the reservation, the failure if there is none, or the chosen server if
            credit for it must be asked first.
        """
        now_s = asyncio.get_running_loop().time()
        ready = self._servers.list_ready(pool.name)
        untried = [
            r for r in ready if r.server.server_id not in request.tried_server_ids
        ]
        if not untried:
            reason = f"pool {pool.name} has {len(ready)} servers, none is left to try"
            return make_failure(
                ErrorKind.NO_INSTANCE, reason, retry_after_s=NO_SERVER_RETRY_AFTER_S
            )
        accepting = [r for r in untried if not r.pause.is_active(now_s)]
        if not accepting:
            return self._make_pause_refusal(pool.name, ready, now_s)
        credit = self._find_credit(ready)
        sendable = [r for r in accepting if _has_credit(credit, r, may_ask)]
        if not sendable:
            return make_failure(
                ErrorKind.OVERLOADED,
                f"no credit for any server: {self._describe_limits(pool)}",
            )
        healthy = [r for r in sendable if not r.is_avoided(now_s)]
        records = healthy or sendable
        homes = rank_home_engines(request.prompt, self._servers.list_all(pool.name))
        usable_homes = [
            home
            for home in homes
            if home.server.is_ready
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
        penalties_s = self._compute_start_penalties_s(
            request, pool, records, homes, preferred_homes, credit, now_s
        )
        usage = self._usage[pool.name]
        is_heavy = usage.is_heavy(request.workspace, now_s)
        views, reservations = [], {}
        for record in records:
            if not record.pause.allows_request(now_s):
                continue
            reservation = self._plan_reservation(record, request, pool, homes, now_s)
            if not self._has_capacity(record, reservation, request, pool, is_heavy):
                continue
            slowness = record.compute_slowness(now_s)
            if pool.engine is None:
                slowness *= record.predict_work_time_ratio(now_s)
            start_s = self._predict_start_s(reservation, pool) * slowness
            start_s += penalties_s[record.server.server_id]
            is_near = record.server.availability_zone == self._zone
            reservations[record.server.server_id] = reservation
            views.append(
                ServerCandidate(
                    record.server.server_id, record.total_requests, start_s, is_near
                )
            )
        if self._waits_for_home(request, preferred_homes, reservations):
            return make_failure(
                ErrorKind.OVERLOADED, "the home engines are at capacity"
            )
        paused = [r for r in ready if r.pause.is_active(now_s)]
        without_credit = [r for r in ready if not _has_credit(credit, r, may_ask)]
        without_ids = {record.server.server_id for record in without_credit}
        chosen = self._choose(views, ready, without_ids, now_s)
        if isinstance(chosen, Failure):
            return chosen
        reservation = reservations[chosen.server_id]
        record = reservation.record
        state = credit.get(record.server.server_id, CreditState.UNLIMITED)
        if state is CreditState.UNKNOWN:
            return record.server
        if state is CreditState.HELD:
            reservation.has_credit = self._credits.spend(record.server)
            self._limited_rates[pool.name].add(1.0, now_s)
        if without_credit:
            reservation.limited_servers = self._describe_limits(pool)
        usage.add(request.workspace, max(reservation.held_tokens, 1), now_s)
        reservation.mean_requests = sum(r.total_requests for r in ready) / len(ready)
        reservation.servers_without_room = len(ready) - len(views)
        record.change_requests(1, now_s)
        record.prompt_tokens += reservation.prompt_tokens
        record.held_tokens += reservation.held_tokens
        reservation.trial = record.pause.reserve_trial()
        reservation.paused_servers = _describe_pauses(paused, now_s)
        source = reservation.fetch_from
        request.fetch_from = None if source is None else source.server
        return reservation

    def _find_credit(self, ready: list[ServerRecord]) -> dict[str, CreditState]:
        """Return whether requests may be sent to servers that limit their rate."""
        if not len(self._servers.limits):
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
        views: list[ServerCandidate],
        ready: list[ServerRecord],
        without_credit: set[str],
        now_s: float,
    ) -> ServerCandidate | Failure:
        """Choose among the servers with room so that the load bound holds for the pool.

        :param views: servers with room for the request.
        :param ready: all servers of the pool that accept new work.
        :param without_credit: ids of those to which no more requests may be sent.
        :param now_s: monotonic time.
        """
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
        limit = compute_load_limit(self._load_factor, usable, failing)
        usable_limit = compute_load_limit(
            self._load_factor * LOAD_FACTOR_SHARE, usable or failing
        )
        chosen = choose_server(self._policy, views, min(limit, usable_limit))
        chosen = chosen or choose_server(self._policy, views, limit)
        if chosen is not None:
            return chosen
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
        reservations: dict[str, Reservation],
    ) -> bool:
        """Return whether a request should wait for capacity of a home engine."""
        if request.prompt is None or not reservations:
            return False
        if not homes or any(home.server.server_id in reservations for home in homes):
            return False
        allowed_s = compute_home_wait(
            request.prompt.shared_tokens, request.route.target_s, ENGINE_BASE_LATENCY_S
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

    def _plan_reservation(
        self,
        record: ServerRecord,
        request: IncomingRequest,
        pool: PoolLimits,
        homes: list[ServerRecord],
        now_s: float,
    ) -> Reservation:
        if request.prompt is None or pool.engine is None:
            return Reservation(record, 0, 0, self.get_mean_service_s(pool.name))
        others = self._servers.list_ready(pool.name)
        holders = NO_HOLDERS
        if pool.engine.can_fetch:
            holders = self._servers.find_part_holders(request.prompt, now_s)
        return plan_reservation(
            record, request.prompt, pool.engine, homes, others, now_s, holders
        )

    def _predict_start_s(self, reservation: Reservation, pool: PoolLimits) -> float:
        if pool.engine is not None:
            return predict_engine_start_s(reservation)
        record = reservation.record
        requests_per_slot = (record.total_requests + 1) / max(record.server.slots, 1)
        return requests_per_slot * self.get_mean_service_s(pool.name)


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


def _spread_retry_after(wait_s: float) -> float:
    """Return when a refused caller may come back, spread over callers."""
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return wait_s * random.uniform(1.0, RETRY_AFTER_SPREAD)


def _describe_pauses(paused: list[ServerRecord], now_s: float) -> str:
    """Name the servers that want no requests for the longest time."""
    named = heapq.nlargest(MAX_NAMED_SERVERS, paused, key=lambda r: r.pause.until_s)
    return ", ".join(
        f"{record.server.server_id} for {record.pause.until_s - now_s:.2f} s"
        for record in named
    )


def make_dispatcher(
    servers: ServerTable,
    zone: AvailabilityZone,
    load_factor: float,
    read_clock: Callable[[], float] = read_boot_time_s,
    policy: str = DEFAULT_DIRECT_PLACEMENT_POLICY,
    credits: CreditExchange | None = None,
) -> Dispatcher:
    """Return a dispatcher without waiting requests.

    :param servers: this router's view of the state of the servers.
    :param zone: the router's availability zone.
    :param load_factor: highest load of a server, as a multiple of the mean load.
    :param read_clock: clock of the requests' deadlines, in seconds.
    :param policy: registered name of the policy that chooses a server.
    :param credits: credit for servers that limit the rate of requests; by default, this
        router alone gives it.
    """
    return Dispatcher(servers, zone, load_factor, read_clock, policy, credits)
