"""Figures of one router and one agent at the target size, from measured slopes."""

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
    CONTROL_BYTES_PER_S,
    CONTROL_CPU_RATIO,
    CONTROL_MEMORY_BYTES,
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
    """Size that the system has to carry.

    :param configuration_changes_per_day: accepted versions.
    :param instance_changes_per_day: failed and replaced instances.
    :param list_changes_per_instance: changes of the list for each of them.
    :param roll_out_changes_per_s: changes of the list while all are replaced.
    :param zones: availability zones.
    :param body_bytes: request body of a chat; an assumption.
    :param exchange_interval_s: time between two exchanges of a process.
    :param keepalive_s: time between two pings of a connection that carries chunks.
    :param idle_connection_s: how long an unused connection is kept.
    :param retention_s: how long an ended answer is kept.
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
        """Routers and agents."""
        return self.routers + self.agents

    @property
    def answer_tokens(self) -> float:
        """Mean tokens of an answer, one chunk each."""
        return self.tokens_per_s / self.requests_per_s

    @property
    def streams(self) -> float:
        """Answers in progress at once."""
        return self.requests_per_s * self.answer_tokens * self.between_tokens_s


class Basis(Enum):
    """Where a figure comes from."""

    SLOPE = "slopes"
    ESTIMATE = "estimate"


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a role at the target.

    :param role: ``router`` or ``agent``.
    :param resource: ``memory``, ``control bytes/s`` or ``control CPU``.
    :param mechanism: what it is spent on.
    :param value: bytes, bytes a second, or seconds of CPU a second.
    :param basis: measured slopes, or an estimate.
    """

    role: str
    resource: str
    mechanism: str
    value: float
    basis: Basis = Basis.SLOPE


MEMORY, CONTROL_BYTES, CONTROL_CPU = "memory", "control bytes/s", "control CPU"
LIMITS = {
    MEMORY: CONTROL_MEMORY_BYTES,
    CONTROL_BYTES: CONTROL_BYTES_PER_S,
    CONTROL_CPU: CONTROL_CPU_RATIO,
}
SECONDS_PER_US = 1e-6
SECONDS_PER_DAY = 86_400.0
# Lengths that the codecs give; a test compares them.
CALL_OVERHEAD_BYTES = 84
REPLY_OVERHEAD_BYTES = 76
EXCHANGE_REQUEST_BYTES = 102
ROUTER_REQUEST_BYTES = 83
EXCHANGE_REPLY_BYTES = 210
PING_BYTES = 44
DELTA_BYTES = 393
ANNOUNCEMENT_BYTES = 18
CONFIGURATION_PARTNERS = 7
CONFIGURATION_REPAIR_INTERVAL_S = 1.0
IDLE_PROCESS_BYTES = 73_500_000
HISTOGRAM_LABEL_SETS = 60
LOAD_TABLE_ENTRY_BYTES = 300
DIRECTORY_ENTRY_BYTES = 592
LOOP_WAKEUP_CPU_S = 100 * SECONDS_PER_US


def _estimate_open_connections(target: Target, role: str) -> float:
    """Return the open connections of a node to the other role."""
    others = target.agents if role == "router" else target.routers
    own = target.routers if role == "router" else target.agents
    used = (target.requests_per_s * target.idle_connection_s + target.streams) / own
    return others * (1 - (1 - 1 / others) ** used)


def _estimate_busy_connections(target: Target, role: str) -> float:
    """Return the connections of a node that carry at least one stream."""
    others = target.agents if role == "router" else target.routers
    own = target.routers if role == "router" else target.agents
    return others * (1 - (1 - 1 / others) ** (target.streams / own))


def derive_figures(slopes: Mapping[str, Slope], target: Target) -> list[Figure]:
    """Return the figures of both roles at the target.

    :param slopes: measured slopes by name.
    :param target: size that the system has to carry.
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
    end_bytes = slopes["connection, both ends"].per_item / 2
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
        "connections": connections * end_bytes,
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
    ended = target.requests_per_s / target.agents * target.retention_s
    streams = target.streams / target.agents
    answer_bytes = slopes["retained answer"].compute_cost(target.answer_tokens)
    counters = slopes["workspace counters of an agent"]
    counter_bytes = counters.per_item - slopes["configuration and its index"].per_item
    entries = target.chats / target.agents
    return [
        Figure("agent", MEMORY, "ended answers, retained", ended * answer_bytes),
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
            entries * DIRECTORY_ENTRY_BYTES,
            Basis.ESTIMATE,
        ),
    ]


def _compute_exchange_rates(target: Target, role: str) -> tuple[float, float, float]:
    """Return calls a second made, answered for agents, answered for routers."""
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
    # A link that was quiet for a second is pinged once before it is used.
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
    """Return the changes a second of the instance list on an ordinary day."""
    changes = target.instance_changes_per_day * target.list_changes_per_instance
    return changes / SECONDS_PER_DAY


def derive_rollout_figures(slopes: Mapping[str, Slope], target: Target) -> list[Figure]:
    """Return what following the list costs while it changes all the time.

    :param slopes: measured slopes by name.
    :param target: size that the system has to carry.
    :returns: the figures, the same for both roles.
    """
    changes_per_s = target.roll_out_changes_per_s
    nodes, zones = target.nodes, target.zones
    spent_bytes = derive_list_bytes_per_s(nodes, zones, changes_per_s)
    cpu_ratio = derive_list_cpu_ratio(slopes, nodes, zones, changes_per_s)
    name = "instance list in a roll-out"
    return [
        Figure(role, resource, name, value)
        for resource, value in ((CONTROL_BYTES, spent_bytes), (CONTROL_CPU, cpu_ratio))
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
    """Return Markdown tables, one a resource, with totals and limits.

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
