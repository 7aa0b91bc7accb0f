"""Seeded arrival traces of the overloads that the policies are evaluated with."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from bilberryspring.identifiers import RankName, WorkspaceName
from bilberryspring.load.arrivals import Surge, draw_arrivals

__all__ = ["RankLoad", "Arrival", "ArrivalTrace", "OVERLOADS", "draw_trace"]

# Share of the slots that are busy under the calm load.
CALM_UTILIZATION = 0.7
EVENT_START_SHARE = 0.25
EVENT_END_SHARE = 0.75
LARGE_WORKSPACE_COUNT = 2
SMALL_WORKSPACE_COUNT = 8
LARGE_WORKSPACE_WEIGHT = 5.0


@dataclass(frozen=True, slots=True)
class RankLoad:
    """Load of one work rank.

    :param name: name of the rank.
    :param load_share: share of the slot time of the calm load.
    :param median_service_s: median time in seconds for which a request occupies a slot.
    :param target_wait_s: latency target in seconds, from arrival to start.
    :param deadline_s: time in seconds from arrival after which a response has no
        benefit.
    :param request_benefit: benefit of one request that meets its latency target.
    :param minimum_share: share of the service that is reserved for the rank under
        overload.
    """

    name: RankName
    load_share: float
    median_service_s: float
    target_wait_s: float
    deadline_s: float
    request_benefit: float
    minimum_share: float


RANK_LOADS = (
    RankLoad(RankName("urgent"), 0.2, 0.8, 2.0, 12.0, 8.0, 0.3),
    RankLoad(RankName("normal"), 0.5, 3.0, 8.0, 45.0, 3.0, 0.2),
    RankLoad(RankName("background"), 0.3, 5.0, 20.0, 120.0, 1.0, 0.1),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    :param number: position in the trace, from zero.
    :param at_s: arrival time in seconds from the start of the trace.
    :param rank_load: load that the request is part of.
    :param workspace: workspace that sends the request.
    :param estimated_cost_tokens: cost in tokens that the agent estimates.
    :param service_s: time in seconds for which the request occupies a slot.
    """

    number: int
    at_s: float
    rank_load: RankLoad
    workspace: WorkspaceName
    estimated_cost_tokens: float
    service_s: float

    @property
    def is_small(self) -> bool:
        """Whether a small workspace sends the request."""
        return self.workspace.startswith("small")


@dataclass(frozen=True, slots=True)
class ArrivalTrace:
    """Arrivals at a pool of equal backend servers, with an overload event.

    :param name: name of the overload.
    :param server_count: number of backend servers.
    :param slots_per_server: requests that each backend server runs concurrently.
    :param duration_s: end of the arrivals in seconds.
    :param event_start_s: start of the event in seconds.
    :param event_end_s: end of the event in seconds.
    :param arrivals: requests in order of arrival.
    """

    name: str
    server_count: int
    slots_per_server: int
    duration_s: float
    event_start_s: float
    event_end_s: float
    arrivals: Sequence[Arrival] = field(repr=False)


# Multiple of the calm arrival rate during the event, by overload and work rank. Ranks
# that are not listed keep their calm rate.
OVERLOADS: dict[str, dict[RankName, float]] = {
    "calm": {},
    "background-x6": {RankName("background"): 6.0},
    "normal-x4": {RankName("normal"): 4.0},
    "urgent-x8": {RankName("urgent"): 8.0},
    "urgent-x25": {RankName("urgent"): 25.0},
}
COST_TOKENS_PER_SLOT_S = 25.0
ESTIMATE_FACTOR_LOG_SIGMA = 0.4
SERVICE_TIME_LOG_SIGMA = 0.6


def draw_trace(
    name: str,
    seed: int,
    *,
    servers: int = 6,
    slots: int = 8,
    duration_s: float = 240.0,
) -> ArrivalTrace:
    """Draw the arrivals of one overload.

    Service times are lognormal. The estimated cost is proportional to the service time,
    times a lognormal error.

    :param name: one of ``OVERLOADS``.
    :param seed: seed of the random number generator.
    :param servers: number of backend servers of the pool.
    :param slots: requests that each backend server runs concurrently.
    :param duration_s: end of the arrivals in seconds; the event is the middle half.
    :raises KeyError: if there is no overload of that name.

    >>> trace = draw_trace("calm", 1, servers=2, slots=4, duration_s=60.0)
    >>> [each.at_s for each in trace.arrivals][0] < 10.0
    True
    """
    rate_factors = OVERLOADS[name]
    generator = random.Random(f"{name} {seed}")
    start_s, end_s = EVENT_START_SHARE * duration_s, EVENT_END_SHARE * duration_s
    drawn = []
    for load in RANK_LOADS:
        mean_service_s = load.median_service_s * _compute_lognormal_mean_ratio(
            SERVICE_TIME_LOG_SIGMA
        )
        rate_per_s = (
            CALM_UTILIZATION * load.load_share * servers * slots / mean_service_s
        )
        surge = Surge(start_s, end_s, rate_factors.get(load.name, 1.0))
        times_s = draw_arrivals(generator, rate_per_s, duration_s, [surge])
        drawn += [(at_s, load) for at_s in times_s]
    drawn.sort(key=lambda entry: entry[0])
    arrivals = [
        _draw_arrival(generator, number, at_s, load)
        for number, (at_s, load) in enumerate(drawn)
    ]
    return ArrivalTrace(name, servers, slots, duration_s, start_s, end_s, arrivals)


def _draw_arrival(
    generator: random.Random, number: int, at_s: float, load: RankLoad
) -> Arrival:
    service_s = load.median_service_s * generator.lognormvariate(
        0.0, SERVICE_TIME_LOG_SIGMA
    )
    estimate_factor = generator.lognormvariate(0.0, ESTIMATE_FACTOR_LOG_SIGMA)
    workspaces = [f"large-{n}" for n in range(LARGE_WORKSPACE_COUNT)]
    workspaces += [f"small-{n}" for n in range(SMALL_WORKSPACE_COUNT)]
    weights = [LARGE_WORKSPACE_WEIGHT] * LARGE_WORKSPACE_COUNT + [
        1.0
    ] * SMALL_WORKSPACE_COUNT
    workspace = generator.choices(workspaces, weights)[0]
    cost_tokens = service_s * COST_TOKENS_PER_SLOT_S * estimate_factor
    return Arrival(
        number, at_s, load, WorkspaceName(workspace), max(cost_tokens, 1.0), service_s
    )


def _compute_lognormal_mean_ratio(sigma: float) -> float:
    return math.exp(sigma**2 / 2)
