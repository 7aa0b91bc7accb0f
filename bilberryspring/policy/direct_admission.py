"""Admission of requests at routers that call backend servers without an agent.

Load pattern: arrivals at many routers exceed the capacity of a few servers, in bursts
and for many seconds. The requests of all routers wait for the same slots, so the total
queue is long although each router's queue is short; without a bound, nearly all
responses miss their latency target. In addition, requests that need much memory fill
the engines and block short urgent requests.

Where callers allow far more time than their latency target, a request that a burst
leaves no room for is deferred instead of refused: it waits behind all others until the
load falls, as long as the caller, if refused then, still has the time for another try.
"""

import math
from dataclasses import dataclass

__all__ = [
    "QueueView",
    "compute_deferral",
    "compute_max_wait",
    "compute_release_chance",
    "compute_router_limit",
    "compute_capacity_share",
    "predict_wait",
]

# Fraction of an engine's slots and memory that requests of each rank may use, the most
# urgent rank first. The rest of the memory caches shared parts of prompts.
CAPACITY_SHARES_BY_RANK = (0.92, 0.85, 0.75)
# Until the next load reports, each router may use an equal share of the free slots
# times this factor, since some routers have fewer requests to send.
LIMIT_GROWTH_FACTOR = 1.5
# A share of less than one request would leave idle servers unused. The load of many
# routers with one request each is bounded by the share of requests that all admit.
MIN_ROUTER_LIMIT = 1.0
# Where the response time alone exceeds the latency target, a request may wait this
# fraction of the target.
MIN_WAIT_TARGET_SHARE = 0.1
# Share of the time that a caller has left which a deferred request may wait. The rest
# is for another try after a refusal.
DEFERRAL_SHARE = 1 / 3
# Requests are deferred only if this wait is long enough for a burst to end, as a
# multiple of the latency target.
MIN_DEFERRAL_TARGETS = 1.5
# Not every router has deferred requests, so each may use more than an equal part.
RELEASE_FACTOR = 3.0
MIN_DEFERRAL_ADMITTED_SHARE = 0.05
# Requests that a router defers before it has sent any of them.
MAX_UNPROVEN_DEFERRALS = 4


@dataclass(frozen=True, slots=True)
class QueueView:
    """State of a pool's queue when a new request finds no free slot.

    :param queued_ahead: number of requests in this router's queue that are served
        first.
    :param running_requests: number of requests that this router has at the pool's
        servers.
    :param pool_slots: number of requests that the pool's servers run concurrently, for
        all routers.
    :param router_count: number of routers that share the pool.
    :param service_s: mean time in seconds from dispatch to the end of the response.
    :param target_event_s: expected time in seconds from dispatch to the event that the
        latency target refers to: the first token of an engine, or else the whole
        response.
    :param target_s: latency target in seconds.
    :param remaining_s: time in seconds until the request's deadline.
    :param limited_per_s: requests per second that this router can send to servers which
        limit their rate; the slots of these are not in ``pool_slots``.
    """

    queued_ahead: int
    running_requests: int
    pool_slots: int
    router_count: int
    service_s: float
    target_event_s: float
    target_s: float
    remaining_s: float
    limited_per_s: float = 0.0


def predict_wait(view: QueueView) -> float:
    """Predict how long a request waits for a free slot.

    Slots become free at the rate at which this router's requests end: its concurrency
    divided by the mean service time. Its concurrency is at least an equal share of the
    pool's slots. Servers that limit the rate of requests add to it.

    :param view: state of the queue.
    :returns: predicted wait in seconds; infinite if no request can be sent.

    >>> predict_wait(QueueView(3, 0, 16, 1, 0.25, 0.25, 0.5, 3.0))
    0.0625
    >>> predict_wait(QueueView(3, 0, 16, 8, 0.25, 0.25, 0.5, 3.0))
    0.5
    """
    if not view.pool_slots:
        rate_per_s = view.limited_per_s
        return (view.queued_ahead + 1) / rate_per_s if rate_per_s else math.inf
    concurrency = max(
        view.running_requests, view.pool_slots / max(view.router_count, 1), 1.0
    )
    concurrency += view.limited_per_s * view.service_s
    return (view.queued_ahead + 1) * view.service_s / concurrency


def compute_max_wait(view: QueueView) -> float:
    """Return the longest wait after which a request is still worth serving.

    :param view: state of the queue.
    :returns: longest wait in seconds; negative if the request would miss its deadline
        even without a wait.

    >>> compute_max_wait(QueueView(0, 0, 1, 1, 0.25, 0.25, 0.5, 3.0))
    0.25
    """
    on_target_s = view.target_s - view.target_event_s
    target_limit_s = max(on_target_s, view.target_s * MIN_WAIT_TARGET_SHARE)
    return min(target_limit_s, view.remaining_s - view.service_s)


def compute_deferral(
    view: QueueView,
    admitted_share: float,
    released_per_s: float = 0.0,
    has_expired: bool = False,
) -> float:
    """Return how long a request may wait that is not admitted now.

    In a flood that lasts, the request would wait in vain. The share of requests that
    are admitted shows how far the demand exceeds the capacity.

    :param view: state of the queue, with ``queued_ahead`` of all requests in it.
    :param admitted_share: share of the requests that the routers admit to the pool.
    :param released_per_s: rate at which this router sent deferred requests recently.
    :param has_expired: whether one waited in vain recently.
    :returns: longest wait in seconds; zero if the request should be refused at once:
        its caller allows little more than the latency target, or it would probably be
        refused later.

    >>> burst = QueueView(0, 3, 18, 39, 0.09, 0.09, 0.418, 4.2)
    >>> round(compute_deferral(burst, 0.5), 6)
    1.4
    >>> compute_deferral(burst, 0.5, has_expired=True)
    0.0
    """
    allowed_s = min(
        view.remaining_s * DEFERRAL_SHARE, view.remaining_s - view.service_s
    )
    if allowed_s < MIN_DEFERRAL_TARGETS * view.target_s:
        return 0.0
    wait_s = predict_wait(view) / max(admitted_share, MIN_DEFERRAL_ADMITTED_SHARE)
    # Until some of them are sent, only few are deferred.
    if released_per_s > 0.0:
        wait_s = max(wait_s, (view.queued_ahead + 1) / released_per_s)
    elif has_expired or view.queued_ahead >= MAX_UNPROVEN_DEFERRALS:
        return 0.0
    return allowed_s if wait_s <= allowed_s else 0.0


def compute_release_chance(free_requests: float, router_count: int) -> float:
    """Return the chance with which a router sends a deferred request now.

    Routers see at the same time that the load has fallen.

    :param free_requests: requests that the pool takes before it is overloaded.
    :param router_count: number of routers that share the pool.

    >>> compute_release_chance(10, 60), compute_release_chance(-1, 20)
    (0.5, 0.0)
    """
    return min(max(RELEASE_FACTOR * free_requests / max(router_count, 1), 0.0), 1.0)


def compute_capacity_share(rank_order: int) -> float:
    """Return the fraction of an engine's slots and memory that a rank may use.

    :param rank_order: position of the work rank; zero is the most urgent.
    :returns: a fraction from zero to one.

    >>> shares = [compute_capacity_share(order) for order in (0, 1, 7)]
    >>> shares[0] > shares[1] > shares[2]
    True
    """
    return CAPACITY_SHARES_BY_RANK[min(rank_order, len(CAPACITY_SHARES_BY_RANK) - 1)]


def compute_router_limit(
    limit_requests: float,
    other_requests: float,
    reported_own_requests: int,
    router_count: int,
) -> float:
    """Return this router's request limit at a server until the next load reports.

    If every router used all slots that were free at the last reports, the server would
    be overcommitted by a factor of the number of routers.

    :param limit_requests: number of requests, of all routers, that the server may hold.
    :param other_requests: number of requests of other routers in their last reports.
    :param reported_own_requests: number of requests of this router at that time.
    :param router_count: number of routers that send requests to the server.
    :returns: limit in requests; the fractional part is the probability of admitting one
        more request.

    >>> compute_router_limit(12, 0, 0, 2), compute_router_limit(12, 6, 1, 5)
    (9.0, 2.5)
    """
    free = max(limit_requests - other_requests - reported_own_requests, 0.0)
    return max(
        MIN_ROUTER_LIMIT,
        limit_requests / router_count,
        reported_own_requests + LIMIT_GROWTH_FACTOR * free / router_count,
    )
