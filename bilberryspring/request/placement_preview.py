"""Preview of where a request would go now, and why, without sending it.

The decision comes from the functions that place requests. A preview reserves nothing,
asks no other router for credit and counts nothing as usage.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryspring.capability.routing import IncomingRequest, PoolLimits
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName, RouteName
from bilberryspring.policy.server_eligibility import (
    Belief,
    Exclusion,
    ServerView,
    find_exclusion,
)
from bilberryspring.process.server_table import ServerRecord, ServerTable
from bilberryspring.request.errors import Failure
from bilberryspring.request.placement_decision import PlacementDecision
from bilberryspring.request.server_exclusions import view_server

__all__ = [
    "PlacementPreview",
    "QueueForecast",
    "RefusalPreview",
    "ServerPreview",
    "make_placement_preview",
]

# A decision that this router made itself just now.
_OWN_SOURCE = "this router"


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """What a request meets that finds no free capacity at once.

    :param admitted_share: share of the pool's requests that routers admit now.
    :param predicted_wait_s: predicted wait in seconds, infinite if none is served.
    :param allowed_wait_s: longest wait in seconds after which serving it is worth it.
    """

    admitted_share: float
    predicted_wait_s: float
    allowed_wait_s: float


@dataclass(frozen=True, slots=True)
class ServerPreview:
    """What one backend server is to a request.

    :param server: id of the server.
    :param availability_zone: its availability zone.
    :param requests: estimated requests of all routers there.
    :param own_requests: requests of this router there.
    :param held_tokens: tokens of this router's requests in its KV cache.
    :param slowness: ratio of measured to expected response times.
    :param predicted_start_s: predicted time in seconds until the response starts, with
        the penalty; ``None`` if the server was not considered.
    :param penalty_s: placement penalty in seconds, part of the predicted start.
    :param exclusion: why it is passed over; empty if it is a candidate.
    :param reason: the same with source and age, for the operator.
    :param is_chosen: whether the request would go there.
    """

    server: InstanceId
    availability_zone: AvailabilityZone
    requests: float
    own_requests: int
    held_tokens: int
    slowness: float
    predicted_start_s: float | None
    penalty_s: float
    exclusion: str
    reason: str
    is_chosen: bool


@dataclass(frozen=True, slots=True)
class RefusalPreview:
    """Why a request would not be sent at once.

    :param kind: kind of the failure.
    :param reason: description for operators.
    :param retry_after_s: when the caller would be asked to come back, zero for never.
    """

    kind: str
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class PlacementPreview:
    """Where a request would go now.

    :param configuration_version: version of the configuration in force.
    :param route: name of the route.
    :param pool: pool that the request would be sent to.
    :param other_pools: further pools among which the route splits its requests.
    :param rank_order: position of its work rank.
    :param prompt_tokens: prompt tokens that the chosen server would have to read.
    :param reserved_tokens: tokens that the request would occupy there.
    :param expected_s: predicted time to the first part of the response there.
    :param choice: id of the chosen server, ``None`` if the request would wait or be
        refused.
    :param failure: why there is no choice, ``None`` if there is one.
    :param queue: what it meets if it has to wait.
    :param servers: all listed servers of the pool, candidates first.
    """

    configuration_version: int
    route: RouteName
    pool: PoolName
    other_pools: tuple[PoolName, ...]
    rank_order: int
    prompt_tokens: int
    reserved_tokens: int
    expected_s: float
    choice: InstanceId | None
    failure: RefusalPreview | None
    queue: QueueForecast
    servers: tuple[ServerPreview, ...]


def make_placement_preview(
    request: IncomingRequest,
    pool: PoolLimits,
    decision: PlacementDecision,
    queue: QueueForecast,
    servers: ServerTable,
    configuration_version: int,
    now_s: float,
) -> PlacementPreview:
    """Describe a decision on a request.

    :param request: the request.
    :param pool: pool that would serve it.
    :param decision: the decision, of which nothing has been carried out.
    :param queue: what the request meets if it has to wait.
    :param servers: the router's view of the servers.
    :param configuration_version: version of the configuration in force.
    :param now_s: monotonic time.
    """
    reservation = decision.reservation
    choice = None if reservation is None else reservation.record.server.server_id
    previews = [
        _preview_server(record, decision, choice, servers, request, now_s)
        for record in servers.list_all(pool.name)
    ]
    return PlacementPreview(
        configuration_version=configuration_version,
        route=request.route.name,
        pool=pool.name,
        other_pools=tuple(name for name, _ in request.route.pools if name != pool.name),
        rank_order=request.rank_order,
        prompt_tokens=0 if reservation is None else reservation.prompt_tokens,
        reserved_tokens=0 if reservation is None else reservation.held_tokens,
        expected_s=0.0 if reservation is None else reservation.expected_s,
        choice=choice,
        failure=_preview_failure(decision.failure),
        queue=queue,
        servers=tuple(_sort_previews(previews)),
    )


def _preview_server(
    record: ServerRecord,
    decision: PlacementDecision,
    choice: InstanceId | None,
    servers: ServerTable,
    request: IncomingRequest,
    now_s: float,
) -> ServerPreview:
    server = record.server
    view = view_server(record, servers, request)
    decided = decision.exclusions.get(server.server_id)
    if decided is Exclusion.LIMITED and servers.cold.is_cold(server):
        decided = Exclusion.COLD
    if decided is not None:
        beliefs = {decided: Belief(_OWN_SOURCE, 0.0), **view.beliefs}
        view = ServerView(server.server_id, beliefs)
    finding = find_exclusion(view)
    starts_s = {
        candidate.server_id: candidate.predicted_start_s
        for candidate in decision.candidates
    }
    is_beyond_bound = decided is Exclusion.LOAD_BOUND
    return ServerPreview(
        server=server.server_id,
        availability_zone=server.availability_zone,
        requests=record.total_requests,
        own_requests=record.requests,
        held_tokens=record.held_tokens,
        slowness=record.compute_slowness(now_s),
        predicted_start_s=starts_s.get(server.server_id),
        penalty_s=decision.penalties_s.get(server.server_id, 0.0),
        exclusion="" if finding is None else finding.exclusion.value,
        reason="" if finding is None else finding.reason,
        is_chosen=server.server_id == choice and not is_beyond_bound,
    )


def _preview_failure(failure: Failure | None) -> RefusalPreview | None:
    if failure is None:
        return None
    return RefusalPreview(failure.kind.value, failure.reason, failure.retry_after_s)


def _sort_previews(previews: Sequence[ServerPreview]) -> list[ServerPreview]:
    """Sort the chosen server first, then candidates by their predicted start."""
    return sorted(
        previews,
        key=lambda each: (
            not each.is_chosen,
            bool(each.exclusion),
            each.predicted_start_s is None,
            each.predicted_start_s or 0.0,
            each.server,
        ),
    )
