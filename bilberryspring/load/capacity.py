"""Capacity model: resources of a router and an agent at the target size.

Most figures are derived from measured cost slopes, the others are estimates.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from bilberryspring.load.capacity_lists import (
    compute_list_calls_per_s,
    derive_list_bytes_per_s,
    derive_list_cpu_ratio,
)
from bilberryspring.load.slopes import Slope
from bilberryspring.load.tables import format_number, format_table
from bilberryspring.process.budget import (
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CPU_RATIO,
    MAX_CONTROL_MEMORY_BYTES,
)

__all__ = [
    "Basis",
    "Figure",
    "Target",
    "derive_figures",
    "derive_rollout_figures",
    "format_figures",
]


@dataclass(frozen=True, slots=True)
class Target:
    """Size and load that the system is designed for.

    :param routers: number of routers.
    :param agents: number of agents.
    :param models: number of models, with one pool each.
    :param workspaces: number of workspaces.
    :param requests_per_s: chat requests per second.
    :param tokens_per_s: streamed tokens per second.
    :param between_tokens_s: time in seconds between two tokens of a stream.
    :param chats: number of chats in the cache directories of the agents.
    :param configuration_changes_per_day: accepted configuration versions per day.
    :param instance_changes_per_day: failed and replaced instances per day.
    :param list_changes_per_instance: changes of the instance list for each of them.
    :param roll_out_changes_per_s: changes of the instance list per second during a
        rollout that replaces all instances.
    :param zones: number of availability zones.
    :param body_bytes: request body of a chat in bytes; an assumption.
    :param exchange_interval_s: time in seconds between two load exchanges that a
        process starts.
    :param keepalive_s: time in seconds between two pings on a connection that carries
        chunks.
    :param idle_connection_s: time in seconds after which an idle connection is closed.
    :param retention_s: time in seconds for which a completed response is retained.
    """

    routers: int = 400
    agents: int = 880
    models: int = 3
    workspaces: int = 3_400
    requests_per_s: float = 4_000.0
    tokens_per_s: float = 1_500_000.0
    between_tokens_s: float = 0.051
    chats: int = 4_300_000
    configuration_changes_per_day: int = 2_600
    instance_changes_per_day: int = 124
    list_changes_per_instance: int = 3
    roll_out_changes_per_s: float = 1.0
    zones: int = 5
    body_bytes: int = 16_000
    exchange_interval_s: float = 0.25
    keepalive_s: float = 6.0
    idle_connection_s: float = 60.0
    retention_s: float = 120.0

    @property
    def nodes(self) -> int:
        """Number of routers and agents."""
        return self.routers + self.agents

    @property
    def answer_tokens(self) -> float:
        """Mean number of tokens of a response, with one chunk for each."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def streams(self) -> float:
        """Mean number of concurrent response streams."""
        return self.requests_per_s * self.answer_tokens * self.between_tokens_s


class Basis(Enum):
    """Basis of a figure."""

    SLOPE = "slopes"
    ESTIMATE = "estimate"


@dataclass(frozen=True, slots=True)
class Figure:
    """Resource usage of one mechanism in a process at the target size.

    :param role: ``router`` or ``agent``.
    :param resource: ``memory``, ``control bytes/s`` or ``control CPU``.
    :param mechanism: mechanism that uses the resource.
    :param value: bytes, bytes per second, or CPU seconds per second.
    :param basis: measured slopes or an estimate.
    """

    role: str
    resource: str
    mechanism: str
    value: float
    basis: Basis = Basis.SLOPE


MEMORY, CONTROL_BYTES, CONTROL_CPU = "memory", "control bytes/s", "control CPU"
LIMITS = {
    MEMORY: MAX_CONTROL_MEMORY_BYTES,
    CONTROL_BYTES: MAX_CONTROL_BYTES_PER_S,
    CONTROL_CPU: MAX_CONTROL_CPU_RATIO,
}
SECONDS_PER_US = 1e-6
SECONDS_PER_DAY = 86_400.0
# Encoded message sizes; a test compares them with those of the codecs.
CALL_OVERHEAD_BYTES = 84
REPLY_OVERHEAD_BYTES = 76
EXCHANGE_REQUEST_BYTES = 102
ROUTER_REQUEST_BYTES = 83
EXCHANGE_REPLY_BYTES = 210
PING_BYTES = 44
DELTA_BYTES = 393
ANNOUNCEMENT_BYTES = 53
CONFIGURATION_PARTNERS = 7
CONFIGURATION_REPAIR_INTERVAL_S = 1.0
IDLE_PROCESS_BYTES = 73_500_000
HISTOGRAM_LABEL_SETS = 60
LOAD_TABLE_ENTRY_BYTES = 300
DIRECTORY_ENTRY_BYTES = 592
LOOP_WAKEUP_CPU_S = 100 * SECONDS_PER_US


def _estimate_open_connections(target: Target, role: str) -> float:
    """Return the expected number of open connections of a node to the other role.

    Each request within the idle timeout and each stream uses a random peer, so the
    number is that of the distinct peers among them.
    """
    peer_count = target.agents if role == "router" else target.routers
    own_count = target.routers if role == "router" else target.agents
    active_requests = (
        target.requests_per_s * target.idle_connection_s + target.streams
    ) / own_count
    return peer_count * (1 - (1 - 1 / peer_count) ** active_requests)


def _estimate_busy_connections(target: Target, role: str) -> float:
    """Return the expected number of connections of a node that carry a stream."""
    peer_count = target.agents if role == "router" else target.routers
    own_count = target.routers if role == "router" else target.agents
    return peer_count * (1 - (1 - 1 / peer_count) ** (target.streams / own_count))


def derive_figures(slopes: Mapping[str, Slope], target: Target) -> list[Figure]:
    """Return the resource usage of both roles at the target size.

    :param slopes: measured slopes by case name.
    :param target: target size.
    """
    figures: list[Figure] = []
    for role in ("router", "agent"):
        figures += _derive_shared_memory(slopes, target, role)
    figures += _derive_router_memory(slopes, target)
    figures += _derive_agent_memory(slopes, target)
    for role in ("router", "agent"):
        figures += _derive_control_bytes(target, role)
        figures += _derive_control_cpu(slopes, target, role)
    return figures


def _derive_shared_memory(
    slopes: Mapping[str, Slope], target: Target, role: str
) -> list[Figure]:
    connections = _estimate_open_connections(target, role)
    bytes_per_connection = slopes["connection, both ends"].per_item / 2
    entries = {
        "idle process": IDLE_PROCESS_BYTES,
        "membership table": slopes["membership table"].compute_cost(target.nodes),
        "instance list and its changes": slopes[
            "instance list and its changes"
        ].compute_cost(target.nodes),
        "configuration and index": slopes["configuration and its index"].compute_cost(
            target.workspaces
        ),
        "compressed document": slopes["compressed document"].compute_cost(
            target.workspaces
        ),
        "log of deltas, at its limit": 1_000_000,
        "latency histograms": slopes["latency histogram"].compute_cost(
            HISTOGRAM_LABEL_SETS
        ),
        "connections": connections * bytes_per_connection,
    }
    return [Figure(role, MEMORY, name, value) for name, value in entries.items()]


def _derive_router_memory(slopes: Mapping[str, Slope], target: Target) -> list[Figure]:
    streams = target.streams / target.routers
    half_answer_bytes = slopes["retained answer"].compute_cost(target.answer_tokens / 2)
    table_bytes = 64 * target.models * LOAD_TABLE_ENTRY_BYTES
    return [
        Figure("router", MEMORY, "answers in progress", streams * half_answer_bytes),
        Figure(
            "router",
            MEMORY,
            "request bodies",
            streams * target.body_bytes,
            Basis.ESTIMATE,
        ),
        Figure("router", MEMORY, "load tables", table_bytes, Basis.ESTIMATE),
    ]


def _derive_agent_memory(slopes: Mapping[str, Slope], target: Target) -> list[Figure]:
    retained_answers = target.requests_per_s / target.agents * target.retention_s
    streams = target.streams / target.agents
    answer_bytes = slopes["retained answer"].compute_cost(target.answer_tokens)
    counter_slope = slopes["workspace counters of an agent"]
    counter_bytes = (
        counter_slope.per_item - slopes["configuration and its index"].per_item
    )
    directory_entries = target.chats / target.agents
    return [
        Figure(
            "agent", MEMORY, "ended answers, retained", retained_answers * answer_bytes
        ),
        Figure("agent", MEMORY, "answers in progress", streams * answer_bytes / 2),
        Figure(
            "agent",
            MEMORY,
            "request bodies",
            streams * target.body_bytes,
            Basis.ESTIMATE,
        ),
        Figure(
            "agent",
            MEMORY,
            "workspace counters",
            max(counter_bytes, 0.0) * target.workspaces,
        ),
        Figure(
            "agent",
            MEMORY,
            "admission queue of 1,000",
            slopes["admission queue"].per_item * 1_000,
        ),
        Figure(
            "agent",
            MEMORY,
            "directory of homes",
            directory_entries * DIRECTORY_ENTRY_BYTES,
            Basis.ESTIMATE,
        ),
    ]


def _compute_exchange_rates(target: Target, role: str) -> tuple[float, float, float]:
    """Return the exchange calls per second of a node.

    :returns: calls that the node makes, calls that it receives from agents, and calls
        that it receives from routers.
    """
    made_per_s = 1 / target.exchange_interval_s
    if role == "router":
        return made_per_s, 0.0, 0.0
    return made_per_s, made_per_s, made_per_s * target.routers / target.agents


def _derive_control_bytes(target: Target, role: str) -> list[Figure]:
    made_per_s, from_agents_per_s, from_routers_per_s = _compute_exchange_rates(
        target, role
    )
    reply_bytes = EXCHANGE_REPLY_BYTES + REPLY_OVERHEAD_BYTES
    agent_call_bytes = EXCHANGE_REQUEST_BYTES + CALL_OVERHEAD_BYTES + reply_bytes
    router_call_bytes = ROUTER_REQUEST_BYTES + CALL_OVERHEAD_BYTES + reply_bytes
    own_call_bytes = router_call_bytes if role == "router" else agent_call_bytes
    repair_bytes = 2 * (ANNOUNCEMENT_BYTES + CALL_OVERHEAD_BYTES + REPLY_OVERHEAD_BYTES)
    changes_per_s = target.configuration_changes_per_day / SECONDS_PER_DAY
    announcement_bytes = DELTA_BYTES + CALL_OVERHEAD_BYTES + REPLY_OVERHEAD_BYTES
    pings_per_s = _estimate_busy_connections(target, role) / target.keepalive_s
    requests_per_s = target.requests_per_s / (
        target.routers if role == "router" else target.agents
    )
    # A link that was idle for a second is pinged once before its next use.
    confirming_pings_per_s = (
        requests_per_s + made_per_s + from_agents_per_s + from_routers_per_s
    )
    confirming_pings_per_s += 2 * compute_list_calls_per_s(
        _compute_list_changes_per_s(target)
    )
    entries = {
        "load exchange": made_per_s * own_call_bytes
        + from_agents_per_s * agent_call_bytes
        + from_routers_per_s * router_call_bytes,
        "configuration, repair": 2 * repair_bytes / CONFIGURATION_REPAIR_INTERVAL_S,
        "configuration, changes": 2
        * CONFIGURATION_PARTNERS
        * announcement_bytes
        * changes_per_s,
        "instance list, an ordinary day": derive_list_bytes_per_s(
            target.nodes, target.zones, _compute_list_changes_per_s(target)
        ),
        "pings and pongs": pings_per_s * 2 * PING_BYTES,
        "confirming quiet connections": confirming_pings_per_s * 2 * PING_BYTES,
    }
    return [Figure(role, CONTROL_BYTES, name, value) for name, value in entries.items()]


def _compute_list_changes_per_s(target: Target) -> float:
    """Return the changes of the instance list per second on an ordinary day."""
    changes = target.instance_changes_per_day * target.list_changes_per_instance
    return changes / SECONDS_PER_DAY


def derive_rollout_figures(slopes: Mapping[str, Slope], target: Target) -> list[Figure]:
    """Return the cost of following the instance list during a rollout.

    :param slopes: measured slopes by case name.
    :param target: target size.
    :returns: control traffic and CPU time, the same for both roles.
    """
    changes_per_s = target.roll_out_changes_per_s
    nodes, zones = target.nodes, target.zones
    bytes_per_s = derive_list_bytes_per_s(nodes, zones, changes_per_s)
    cpu_ratio = derive_list_cpu_ratio(slopes, nodes, zones, changes_per_s)
    name = "instance list in a roll-out"
    return [
        Figure(role, resource, name, value)
        for resource, value in ((CONTROL_BYTES, bytes_per_s), (CONTROL_CPU, cpu_ratio))
        for role in ("router", "agent")
    ]


def _derive_control_cpu(
    slopes: Mapping[str, Slope], target: Target, role: str
) -> list[Figure]:
    made_per_s, from_agents_per_s, from_routers_per_s = _compute_exchange_rates(
        target, role
    )
    handled_per_s = from_agents_per_s + from_routers_per_s
    call_us = slopes["encode and decode a peer call of 400 bytes"].fixed
    codec_us = slopes["encode and decode an exchange reply"].fixed
    answer_us = slopes["answer an exchange"].compute_cost(target.nodes)
    changes_per_s = target.configuration_changes_per_day / SECONDS_PER_DAY
    change_us = slopes["apply the delta of one change"].compute_cost(target.workspaces)
    change_us += slopes["put a version in force"].compute_cost(target.workspaces)
    change_us += 2 * CONFIGURATION_PARTNERS * call_us
    list_cpu_ratio = derive_list_cpu_ratio(
        slopes, target.nodes, target.zones, _compute_list_changes_per_s(target)
    )
    pings_per_s = _estimate_busy_connections(target, role) / target.keepalive_s
    ping_s = (
        slopes["encode and decode a ping"].fixed * SECONDS_PER_US + LOOP_WAKEUP_CPU_S
    )
    exchange_s = made_per_s * (codec_us + call_us) * SECONDS_PER_US
    exchange_s += handled_per_s * (answer_us + call_us) * SECONDS_PER_US
    return [
        Figure(role, CONTROL_CPU, "load exchange, codecs and tables", exchange_s),
        Figure(
            role,
            CONTROL_CPU,
            "event loop wakes of calls",
            2 * (made_per_s + handled_per_s + 2) * LOOP_WAKEUP_CPU_S,
            Basis.ESTIMATE,
        ),
        Figure(
            role,
            CONTROL_CPU,
            "configuration changes",
            changes_per_s * change_us * SECONDS_PER_US,
        ),
        Figure(role, CONTROL_CPU, "instance list, an ordinary day", list_cpu_ratio),
        Figure(
            role,
            CONTROL_CPU,
            "pings and pongs",
            pings_per_s * ping_s,
            Basis.ESTIMATE,
        ),
    ]


def format_figures(figures: Sequence[Figure]) -> str:
    """Return one Markdown table for each resource, with totals and limits.

    :param figures: figures of both roles.
    """
    resources = dict.fromkeys(figure.resource for figure in figures)
    return "\n\n".join(_format_resource(figures, name) for name in resources)


def _format_resource(figures: Sequence[Figure], resource: str) -> str:
    selected = [figure for figure in figures if figure.resource == resource]
    mechanisms = dict.fromkeys(figure.mechanism for figure in selected)
    rows = []
    for mechanism in mechanisms:
        found = [figure for figure in selected if figure.mechanism == mechanism]
        by_role = {figure.role: figure.value for figure in found}
        cells = [_format_value(resource, by_role.get(r)) for r in ("router", "agent")]
        rows.append([mechanism, *cells, found[0].basis.value])
    totals = [
        sum(figure.value for figure in selected if figure.role == role)
        for role in ("router", "agent")
    ]
    rows.append(["**total**", *(_format_value(resource, t) for t in totals), ""])
    limit = _format_value(resource, LIMITS[resource])
    rows.append(["**limit**", limit, limit, ""])
    return format_table([resource, "router", "agent", "from"], rows)


def _format_value(resource: str, value: float | None) -> str:
    if value is None:
        return ""
    if resource == MEMORY:
        return f"{format_number(value / 1e6)} MB"
    if resource == CONTROL_BYTES:
        return f"{format_number(value)} B/s"
    return f"{value:.3%} of a core"
