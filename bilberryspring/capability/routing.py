"""Routing configuration and requests of routers that call backend servers directly.

A platform adapter decodes the platform's configuration and server list into these
types. All other code depends only on them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import (
    AvailabilityZone,
    InstanceId,
    ModelName,
    PoolName,
    Region,
    RequestId,
    RouteName,
    WorkspaceName,
)

__all__ = [
    "BackendServer",
    "CallerLimits",
    "DirectRoute",
    "EngineLimits",
    "IncomingRequest",
    "PartId",
    "PoolLimits",
    "Prompt",
    "PromptPart",
    "RoutingTable",
    "ExecutionRule",
    "WorkspaceKey",
    "find_route",
    "make_routing_table",
]

PartId = str


class ExecutionRule(Enum):
    """How often a request may run, and whether its response is a stream."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class DirectRoute:
    """One route of the configuration.

    :param name: name of the route.
    :param host: value of the ``Host`` header that the route matches, without a port.
    :param path_prefix: prefix of matching paths; starts and ends with a slash.
    :param rule: how often a request may run, and whether its response is a stream.
    :param pools: names and relative weights of the pools that serve the route.
    :param max_servers: maximum number of backend servers that one request is sent to.
    :param timeout_s: request timeout in seconds.
    :param target_s: latency target in seconds; for streams, until the first event.
    :param pause_target_s: target for the time between two events of a stream, in
        seconds; zero for none.
    :param rank_order: position of the work rank; zero is the most urgent.
    :param is_public: whether requests need no key.
    :param is_resumable: whether another backend server can resume a broken stream.
    :param allowed_regions: regions whose servers may get its requests; ``None`` for
        all.
    """

    name: RouteName
    host: str
    path_prefix: str
    rule: ExecutionRule
    pools: tuple[tuple[PoolName, float], ...]
    max_servers: int
    timeout_s: float
    target_s: float
    pause_target_s: float
    rank_order: int
    is_public: bool
    is_resumable: bool
    allowed_regions: frozenset[Region] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be retried although it may have run."""
        return self.rule is ExecutionRule.REPEATABLE or (
            self.rule is ExecutionRule.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity and capabilities of the engines of a pool.

    :param slots: number of requests that an engine runs concurrently.
    :param cache_tokens: capacity of the KV cache in tokens, for running requests and
        cached prompt parts together.
    :param chunk_tokens: number of tokens in one event of a stream.
    :param can_fetch: whether an engine can fetch cached prompt parts from another one.
    """

    slots: int
    cache_tokens: int
    chunk_tokens: int
    can_fetch: bool


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of one pool of backend servers.

    :param name: name of the pool.
    :param max_connections: maximum number of connections that a server accepts from all
        routers together.
    :param engine: limits of the pool's engines; ``None`` if its servers are no engines.
    :param cold_start_s: time in seconds for which a server is cold after its start;
        zero if that is not stated.
    :param cold_per_s: requests per second that a cold server takes from all routers
        together; zero if its rate is not limited.
    :param cold_problem: what is odd about these figures, for the log; empty if they are
        sound.
    """

    name: PoolName
    max_connections: int
    engine: EngineLimits | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    cold_problem: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the pace of callers' requests.

    :param max_header_bytes: maximum size of the request line and headers.
    :param max_body_bytes: maximum size of the request body.
    :param header_timeout_s: timeout for receiving the request line and headers, in
        seconds.
    :param idle_timeout_s: timeout of an idle connection between two requests, in
        seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class WorkspaceKey:
    """Workspace that a caller's key belongs to.

    :param workspace: name of the workspace.
    :param rank_order: position of the work rank for requests with this key, which
        overrides that of the route; ``None`` to use that of the route.
    :param allowed_regions: regions whose servers may get the workspace's requests;
        ``None`` for all.
    """

    workspace: WorkspaceName
    rank_order: int | None
    allowed_regions: frozenset[Region] | None = None


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration, in the form that a router uses.

    :param version: version number that the operator assigned.
    :param position: position in the store's history at which it was written.
    :param routes: routes by host name, the longest path prefix first.
    :param pools: pools by name.
    :param keys: workspaces by key; ``None`` if callers need no key.
    :param limits: limits on callers' requests.
    """

    version: int
    position: StorePosition
    routes: Mapping[str, tuple[DirectRoute, ...]]
    pools: Mapping[PoolName, PoolLimits]
    keys: Mapping[str, WorkspaceKey] | None
    limits: CallerLimits


def make_routing_table(
    version: int,
    position: StorePosition,
    routes: list[DirectRoute],
    pools: list[PoolLimits],
    keys: Mapping[str, WorkspaceKey] | None,
    limits: CallerLimits,
) -> RoutingTable:
    """Build a routing table.

    :param version: version number that the operator assigned.
    :param position: position in the store's history at which it was written.
    :param routes: all routes, in any order.
    :param pools: all pools, in any order.
    :param keys: workspaces by key; ``None`` if callers need no key.
    :param limits: limits on callers' requests.
    """
    routes_by_host: dict[str, list[DirectRoute]] = {}
    for route in routes:
        routes_by_host.setdefault(route.host.lower(), []).append(route)
    sorted_routes = {
        host: tuple(sorted(each, key=lambda route: -len(route.path_prefix)))
        for host, each in routes_by_host.items()
    }
    pools_by_name = {pool.name: pool for pool in pools}
    return RoutingTable(version, position, sorted_routes, pools_by_name, keys, limits)


def find_route(table: RoutingTable, host: str, path: str) -> DirectRoute | None:
    """Return the route with the longest prefix that matches a path.

    :param table: the active routing table.
    :param host: value of the ``Host`` header, with or without a port.
    :param path: path of the request, without the query.
    :returns: the route, or ``None`` if none matches.
    """
    host_name = host.rpartition(":")[0] if ":" in host else host
    for route in table.routes.get(host_name.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


@dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server in the platform's list.

    :param server_id: id of the server.
    :param pool: pool that it belongs to.
    :param host: host name or address.
    :param port: TCP port.
    :param availability_zone: its availability zone.
    :param slots: number of requests that it runs concurrently.
    :param is_ready: whether it accepts new requests; a leaving server does not.
    :param started_at_ms: Unix time of its start in milliseconds; zero if unknown.
    :param report_number: number of the report that it wrote the entry with, counted
        since its start; zero if unknown. Servers that differ in it alone are equal.
    :param cold_remaining_s: seconds for which it stayed cold when the entry was
        written; ``None`` if it states no such time, negative if that is unreadable.
        Servers that differ in it alone are equal.
    :param region: region of its availability zone by this router's settings; ``None``
        if they do not name the zone.
    """

    server_id: InstanceId
    pool: PoolName
    host: str
    port: int
    availability_zone: AvailabilityZone
    slots: int
    is_ready: bool
    started_at_ms: int
    report_number: int = field(default=0, compare=False, repr=False)
    cold_remaining_s: float | None = field(default=None, compare=False, repr=False)
    region: Region | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A contiguous part of a prompt that other requests may share.

    :param part_id: id of the content; equal parts have equal ids.
    :param tokens: number of tokens in the part.
    """

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """Model and token counts of a request to an engine.

    :param model: name of the model.
    :param input_tokens: number of tokens of the whole prompt.
    :param output_tokens: number of output tokens that the request reserves.
    :param parts: parts of the prompt in order; the last one is specific to the request.
    :param hinted_output_tokens: the caller's estimate of the number of output tokens;
        zero for none.
    :ivar shared_tokens: number of tokens in the parts that other requests may share.
    """

    model: ModelName
    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    hinted_output_tokens: int = 0
    shared_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        shared_tokens = sum(part.tokens for part in self.parts[:-1])
        object.__setattr__(self, "shared_tokens", shared_tokens)


@dataclass(slots=True)
class IncomingRequest:
    """A request that was received completely from a caller.

    :param request_id: id of the request.
    :param method: HTTP method.
    :param target: request target: the path and the query.
    :param headers: names and values of the headers to forward, without hop-by-hop ones.
    :param body: request body.
    :param route: route that the request matches.
    :param workspace: workspace of the caller's key; ``None`` if no key is needed.
    :param rank_order: position of its work rank; zero is the most urgent.
    :param received_s: time at which its headers were read, on the clock of
        :func:`bilberryspring.process.clock.read_boot_time_s`.
    :param deadline_s: deadline of the response, on the same clock.
    :param prompt: prompt of a request to an engine; ``None`` for other requests.
    :param resume_after: id of the last event that the caller has received, after which
        the stream resumes; ``None`` to start from the beginning.
    :param fetch_from: engine that caches prompt parts which the chosen engine lacks;
        ``None`` for none.
    :param tried_server_ids: ids of the servers that the request was already sent to.
    :param attempts: number of attempts to send the request.
    :param workspace_regions: regions whose servers may get the workspace's requests;
        ``None`` for all. Those of the route bind as well.
    """

    request_id: RequestId
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    route: DirectRoute
    workspace: WorkspaceName | None
    rank_order: int
    received_s: float
    deadline_s: float
    prompt: Prompt | None = None
    resume_after: str | None = None
    fetch_from: BackendServer | None = None
    tried_server_ids: set[InstanceId] = field(default_factory=set)
    attempts: int = 0
    workspace_regions: frozenset[Region] | None = None

    def allows_region(self, region: Region | None) -> bool:
        """Return whether servers of a region may get the request.

        :param region: the region; ``None``, for one that is not known, is allowed only
            where all are.
        """
        return all(
            allowed is None or region in allowed
            for allowed in (self.route.allowed_regions, self.workspace_regions)
        )

    @property
    def is_bound_to_regions(self) -> bool:
        """Whether only servers of some regions may get the request."""
        return self.route.allowed_regions is not None or (
            self.workspace_regions is not None
        )
