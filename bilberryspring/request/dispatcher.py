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
    compute_deferral,
    compute_max_wait,
    compute_release_chance,
    predict_wait,
)
from bilberryspring.policy.direct_placement import (
    DEFAULT_DIRECT_PLACEMENT_POLICY,
    draw_uniform,
)
from bilberryspring.policy.request_cost import StartTerms
from bilberryspring.policy.shedding import compute_free_requests
from bilberryspring.process.clock import read_boot_time_s
from bilberryspring.process.credit_exchange import (
    CreditExchange,
    CreditState,
    ServerKey,
    make_credit_exchange,
)
from bilberryspring.process.logs import log_event
from bilberryspring.process.server_table import ServerRecord, ServerTable
from bilberryspring.request.decaying_sum import DecayingSum
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.load_shedding import (
    Deferrals,
    LoadShedder,
    make_deferrals,
    make_load_shedder,
)
from bilberryspring.request.placement_decision import (
    INITIAL_SERVICE_TIME_S,
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_SPREAD,
    PlacementDecision,
    describe_pauses,
    make_pause_refusal,
    make_placement_planner,
)
from bilberryspring.request.placement_preview import QueueForecast
from bilberryspring.request.reservations import Reservation

__all__ = ["Dispatcher", "make_dispatcher"]

SERVICE_TIME_WEIGHT = 0.05
MAX_RETRY_AFTER_S = 600.0
# How often waiting requests are placed again while no request of this router ends:
# capacity also becomes free through requests of the other routers.
REDISPATCH_INTERVAL_S = 0.03
# Servers that are asked about credit for one request before it goes elsewhere.
MAX_QUESTIONS = 2
# Time over which the requests to servers that limit their rate are averaged.
LIMITED_RATE_TIME_S = 4.0
# Added to the rank of deferred requests, so that they come after all others.
DEFERRED_RANK_OFFSET = 1_000
# Waiting requests that are tried at a time; the others wait behind these.
MAX_DISPATCH_SCAN = 8


@dataclass(order=True, slots=True)
class _WaitingRequest:
    sort_key: tuple[float, ...]
    request: IncomingRequest = field(compare=False)
    pool: PoolLimits = field(compare=False)
    result: "asyncio.Future[Reservation | Failure]" = field(compare=False)
    is_deferred: bool = field(default=False, compare=False)


class Dispatcher:
    """Assigns requests to servers, queueing those that find no free capacity.

    :param servers: this router's view of the state of the servers.
    :param zone: the router's availability zone.
    :param load_factor: highest load of a server, as a multiple of the mean load.
    :param read_clock: clock of the requests' deadlines, in seconds.
    :param policy: registered name of the policy that chooses a server.
    :param credits: credit for servers that limit the rate of requests.
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
        self._credits = credits or make_credit_exchange("", servers.rates)
        self._credits.credit_callbacks.append(self._use_credit)
        self._limited_rates: defaultdict[PoolName, DecayingSum] = defaultdict(
            lambda: DecayingSum(LIMITED_RATE_TIME_S)
        )
        self._servers = servers
        self._planner = make_placement_planner(
            servers, self._credits, zone, policy, read_clock
        )
        self.set_load_factor(load_factor)
        self._waiting: dict[PoolName, list[_WaitingRequest]] = {}
        self._redispatches: dict[PoolName, asyncio.TimerHandle] = {}
        self._sequence_numbers = itertools.count()
        self._mean_service_s = self._planner.mean_service_s
        self.costs = self._planner.costs
        self._deferrals: defaultdict[PoolName, Deferrals] = defaultdict(make_deferrals)
        self._shedders: defaultdict[PoolName, LoadShedder] = defaultdict(
            make_load_shedder
        )

    @property
    def router_count(self) -> int:
        """Number of routers that send to the same servers."""
        return self._planner.router_count

    @router_count.setter
    def router_count(self, router_count: int) -> None:
        self._planner.router_count = router_count

    def set_load_factor(self, load_factor: float) -> None:
        """Set the bound on each server's load.

        :param load_factor: highest load of a server, as a multiple of the mean load.
        """
        self._planner.load_factor = load_factor

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
        begun_s = self._read_clock()
        queue = self._waiting.setdefault(pool.name, [])
        refusal = self._refuse_in_pause(pool.name)
        if refusal is not None:
            return refusal
        priority_key = self._make_priority_key(request, pool)
        refusal = self._shed_load(request, pool, priority_key)
        if refusal is not None:
            return await self._defer(request, pool, priority_key, must_end_s, refusal)
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
            return await self._defer(request, pool, priority_key, must_end_s, refusal)
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
                # Questions about credit took part of the time that a wait is worth.
                asked_s = self._read_clock() - begun_s
                wait_s = min(wait_s, compute_max_wait(view) - asked_s)
            async with asyncio.timeout(max(0.0, wait_s)):
                found = await waiting.result
        except TimeoutError:
            return self._make_timeout_refusal(request, pool, priority_key, must_end_s)
        finally:
            if found is None:
                self._discard_waiting(waiting, queue)
        return found

    async def _defer(
        self,
        request: IncomingRequest,
        pool: PoolLimits,
        priority_key: tuple[int, int, bool],
        must_end_s: float,
        refusal: Failure,
    ) -> Reservation | Failure:
        """Wait behind all other requests for capacity that a burst leaves none of.

        :param refusal: why the request is not admitted now.
        :returns: the reservation, or the refusal if no capacity becomes free in time.
        """
        queue = self._waiting[pool.name]
        shedder, deferrals = self._shedders[pool.name], self._deferrals[pool.name]
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        rank, route_rank, is_heavy = priority_key
        key = (rank + DEFERRED_RANK_OFFSET, route_rank, is_heavy)
        view = self._view_queue(request, pool, key, must_end_s)
        wait_s = 0.0
        if pool.engine is None and view.pool_slots and not request.tried_server_ids:
            wait_s = compute_deferral(
                view,
                shedder.admitted_share,
                deferrals.get_released_per_s(now_s),
                deferrals.has_expired(now_s),
            )
        if wait_s <= 0.0:
            return refusal
        waiting = _WaitingRequest(
            (*key, next(self._sequence_numbers)),
            request,
            pool,
            loop.create_future(),
            is_deferred=True,
        )
        heapq.heappush(queue, waiting)
        self._schedule_redispatch(pool.name)
        found = None
        try:
            async with asyncio.timeout(wait_s):
                found = await waiting.result
            deferrals.record(is_released=True, now_s=loop.time())
        except TimeoutError:
            deferrals.record(is_released=False, now_s=loop.time())
            return refusal
        finally:
            if found is None:
                self._discard_waiting(waiting, queue)
            log_event(
                "request_deferred",
                request_id=request.request_id,
                pool=pool.name,
                waited_s=loop.time() - now_s,
                allowed_s=wait_s,
                is_sent=isinstance(found, Reservation),
            )
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

    def record_start(
        self, request: IncomingRequest, reservation: Reservation, taken_s: float
    ) -> None:
        """Learn from the begin of a response.

        :param request: the request.
        :param reservation: its reservation.
        :param taken_s: time from sending it, in seconds.
        """
        if reservation.start_terms is not None:
            self.costs.record_start(
                request,
                reservation.record.server.pool,
                reservation.start_terms,
                taken_s,
            )

    def record_answer(
        self,
        request: IncomingRequest,
        reservation: Reservation,
        pool: PoolLimits,
        event_count: int,
        taken_s: float,
    ) -> None:
        """Learn from a complete response.

        :param request: the request.
        :param reservation: its reservation.
        :param pool: pool that served it.
        :param event_count: events of a streamed response.
        :param taken_s: time from sending the request, in seconds.
        """
        if pool.engine is None:
            mean_s = self.get_mean_service_s(pool.name)
            self.costs.record_service(request, pool.name, mean_s, taken_s)
        elif request.prompt is not None and request.resume_after is None:
            output_tokens = event_count * pool.engine.chunk_tokens
            self.costs.record_output(request, output_tokens)

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
            if waiting.is_deferred and not self._may_release(waiting.pool):
                break
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

    def _may_release(self, pool: PoolLimits) -> bool:
        """Draw whether a deferred request of a pool may be sent now.

        It gets only capacity that requests which can be in time leave.
        """
        now_s = asyncio.get_running_loop().time()
        if self._adjust_share(pool, now_s).admitted_share < 1.0:
            return False
        free_requests = compute_free_requests(*self._sum_load(pool))
        chance = compute_release_chance(free_requests, self.router_count)
        return random.random() < chance

    def _adjust_share(self, pool: PoolLimits, now_s: float) -> LoadShedder:
        """Adjust the share of requests that are admitted to a pool to its load."""
        shedder = self._shedders[pool.name]
        if shedder.is_due(now_s):
            requests, slots = self._sum_load(pool)
            is_engine = pool.engine is not None
            shedder.adjust(requests / max(slots, 1), now_s, is_engine)
        return shedder

    def _sum_load(self, pool: PoolLimits) -> tuple[float, float]:
        """Return the requests at the servers that want some, and their usable slots."""
        accepting = self._list_accepting(pool.name)
        slots = sum(self._count_usable_slots(record, pool) for record in accepting)
        return sum(record.total_requests for record in accepting), slots

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
        questions = len(self._waiting[pool]) if len(self._servers.rates) else 0
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
        return self._planner.get_mean_service_s(pool)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a server."""
        return sum(len(queue) for queue in self._waiting.values())

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
        is_heavy = self._planner.usage[pool.name].is_heavy(request.workspace, now_s)
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
        now_s = asyncio.get_running_loop().time()
        shedder = self._adjust_share(pool, now_s)
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

    def forecast_queue(
        self, request: IncomingRequest, pool: PoolLimits, must_end_s: float
    ) -> QueueForecast:
        """Return what a request meets that finds no free capacity; nothing is counted.

        :param request: the request.
        :param pool: pool that serves the request.
        :param must_end_s: time on the deadline clock by which the response must end.
        """
        self._waiting.setdefault(pool.name, [])
        priority_key = self._make_priority_key(request, pool)
        view = self._view_queue(request, pool, priority_key, must_end_s)
        share = self._shedders[pool.name].admitted_share
        return QueueForecast(share, predict_wait(view), compute_max_wait(view))

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
        limits = self._planner.describe_limits(pool)
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
            reason = (
                f"no credit in time; limited: {self._planner.describe_limits(pool)}"
            )
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
            rate_per_s = self._servers.rates.find_rate_per_s(record.server)
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
            target_event_s=service_s
            if pool.engine is None
            else self.costs.get_coefficients(pool.name).base_s,
            target_s=request.route.target_s,
            remaining_s=must_end_s - self._read_clock(),
            limited_per_s=limited_per_s,
        )

    def _count_usable_slots(self, record: ServerRecord, pool: PoolLimits) -> float:
        """Return how many slots of a server requests can occupy within its limit."""
        slots = pool.engine.slots if pool.engine else record.server.slots
        rate_per_s = self._servers.rates.find_rate_per_s(record.server)
        if rate_per_s is None:
            return slots
        return min(slots, rate_per_s * self.get_mean_service_s(pool.name))

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
        return make_pause_refusal(pool, ready, now_s)

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

    def decide(
        self, request: IncomingRequest, pool: PoolLimits, may_ask: bool = False
    ) -> PlacementDecision:
        """Decide where a request would go now, without reserving anything.

        :param request: the request.
        :param pool: pool that serves it.
        :param may_ask: whether a server may be chosen for which credit must be asked.
        """
        now_s = asyncio.get_running_loop().time()
        return self._planner.decide(request, pool, now_s, may_ask)

    def _try_reserve(
        self, request: IncomingRequest, pool: PoolLimits, may_ask: bool = False
    ) -> Reservation | Failure | BackendServer:
        """Reserve capacity on a server.

        :param may_ask: whether a server may be chosen for which credit must be asked.
        :returns: the reservation, the failure if there is none, or the chosen server if
            credit for it must be asked first.
        """
        decision = self.decide(request, pool, may_ask)
        if decision.failure is not None:
            return decision.failure
        if decision.credit is CreditState.UNKNOWN:
            return decision.reservation.record.server
        return self._commit(decision, request, pool)

    def _commit(
        self, decision: PlacementDecision, request: IncomingRequest, pool: PoolLimits
    ) -> Reservation:
        """Reserve the capacity that a decision chose."""
        now_s = asyncio.get_running_loop().time()
        reservation, ready = decision.reservation, decision.ready
        record = reservation.record
        if decision.credit is CreditState.HELD:
            reservation.has_credit = self._credits.spend(record.server)
            self._limited_rates[pool.name].add(1.0, now_s)
        if decision.has_servers_without_credit:
            reservation.limited_servers = self._planner.describe_limits(pool)
        self._planner.usage[pool.name].add(
            request.workspace, max(reservation.held_tokens, 1), now_s
        )
        reservation.mean_requests = sum(r.total_requests for r in ready) / len(ready)
        reservation.servers_without_room = len(ready) - len(decision.candidates)
        if pool.engine is not None and request.prompt is not None:
            reservation.start_terms = StartTerms(
                reservation.prompt_tokens,
                record.prompt_tokens + record.peer_load.prompt_tokens,
                record.total_requests,
                reservation.cached_tokens,
                reservation.copied_s,
            )
        record.change_requests(1, now_s)
        record.prompt_tokens += reservation.prompt_tokens
        record.held_tokens += reservation.held_tokens
        reservation.trial = record.pause.reserve_trial()
        paused = [r for r in ready if r.pause.is_active(now_s)]
        reservation.paused_servers = describe_pauses(paused, now_s)
        source = reservation.fetch_from
        request.fetch_from = None if source is None else source.server
        return reservation


def _spread_retry_after(wait_s: float) -> float:
    """Return when a refused caller may come back, spread over callers."""
    wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return wait_s * random.uniform(1.0, RETRY_AFTER_SPREAD)


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
