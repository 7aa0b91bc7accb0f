"""Formatting of measurements as Markdown tables."""

from collections.abc import Iterable, Sequence

from bilberryspring.load.claim_costs import ClaimCost
from bilberryspring.load.idle_costs import IdleCost
from bilberryspring.load.long_chat_benchmark import LongChatCost
from bilberryspring.load.path_benchmark import BenchResult
from bilberryspring.load.slopes import Slope

__all__ = [
    "format_bench",
    "format_claim_costs",
    "format_idle_costs",
    "format_long_chats",
    "format_number",
    "format_slopes",
    "format_table",
]


def format_number(value: float) -> str:
    """Return a number as text with three significant digits.

    Numbers from 100 are rounded to an integer with separators.

    :param value: number to format.

    >>> [format_number(value) for value in (0, 0.01234, 3.456, 123456.0)]
    ['0', '0.0123', '3.46', '123,456']
    """
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table.

    :param header: titles of the columns.
    :param rows: rows of cells; a vertical bar in a cell becomes a slash.

    >>> print(format_table(["a"], [["1"]]))
    | a |
    |---|
    | 1 |
    """
    lines = [_format_row(header), "|" + "---|" * len(header)]
    return "\n".join([*lines, *map(_format_row, rows)])


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |"


def format_slopes(slopes: Iterable[Slope]) -> str:
    """Return a Markdown table of cost slopes.

    :param slopes: measured slopes.
    """
    rows = []
    for slope in slopes:
        measured = ", ".join(
            f"{size:,}: {format_number(value)}" if len(slope.points) > 1 else ""
            for size, value in slope.points
        )
        each = f"a {slope.item}" if slope.item else ""
        rows.append(
            [
                slope.name,
                f"{format_number(slope.per_item)} {slope.unit} {each}" if each else "",
                f"{format_number(slope.fixed)} {slope.unit}",
                measured,
            ]
        )
    return format_table(["what", "an item", "fixed part", "measured at"], rows)


def format_claim_costs(costs: Iterable[ClaimCost]) -> str:
    """Return a Markdown table of the key-value calls that claims cost.

    :param costs: measured costs, one for each concurrency.
    """
    header = ["in flight", "writes a request", "reads a request"]
    header += ["bytes a request", "CPU ms a request, with the stand-in"]
    rows = [
        [
            str(cost.concurrency),
            format_number(cost.writes / cost.requests),
            format_number(cost.reads / cost.requests),
            format_number(cost.bytes_per_request),
            format_number(cost.cpu_ms_per_request),
        ]
        for cost in costs
    ]
    return format_table(header, rows)


def format_bench(result: BenchResult) -> str:
    """Return the Markdown tables of a comparison of direct and routed requests.

    :param result: result of the benchmark.
    """
    header = ["figure", "direct", "routed", "added", "routed / direct"]
    rows = [
        *_compare_latency("service call", result, "request"),
        *_compare_latency("first token", result, "first_token"),
        _compare_rate("calls a second", result, "requests_per_s"),
        _compare_rate("tokens a second", result, "tokens_per_s"),
    ]
    cpu_header = ["process", "CPU s / 1,000 calls", "CPU s / 100,000 chunks", "MB"]
    cpu_rows = [
        [
            use.process,
            format_number(use.per_1000_requests_s),
            format_number(use.per_100000_chunks_s),
            format_number(result.resident_bytes[use.process] / 1e6),
        ]
        for use in result.cpu
    ]
    return f"{format_table(header, rows)}\n\n{format_table(cpu_header, cpu_rows)}"


def format_long_chats(costs: Iterable[LongChatCost]) -> str:
    """Return a Markdown table of the cost of long chat bodies.

    :param costs: measured costs, one for each body size.
    """
    header = ["body, KB", "first token direct, ms", "routed, ms", "added, ms"]
    header += ["router, CPU ms a request", "agent, CPU ms a request"]
    rows = []
    for cost in costs:
        times_s = (cost.direct_s, cost.routed_s, cost.routed_s - cost.direct_s)
        values = [cost.body_bytes / 1000]
        values += [each_s * 1000 for each_s in (*times_s, *cost.cpu_s.values())]
        rows.append([format_number(value) for value in values])
    return format_table(header, rows)


def _compare_latency(title: str, result: BenchResult, name: str) -> list[list[str]]:
    direct, routed = getattr(result.direct, name), getattr(result.routed, name)
    rows = []
    for percentile in ("p50_s", "p95_s", "p99_s"):
        before_ms = getattr(direct, percentile) * 1000
        after_ms = getattr(routed, percentile) * 1000
        cells = [f"{title}, {percentile[:-2]}, ms"]
        cells += map(format_number, (before_ms, after_ms, after_ms - before_ms))
        rows.append([*cells, format_number(after_ms / before_ms)])
    return rows


def _compare_rate(title: str, result: BenchResult, name: str) -> list[str]:
    before, after = getattr(result.direct, name), getattr(result.routed, name)
    cells = [title, format_number(before), format_number(after), ""]
    return [*cells, format_number(after / before)]


def format_idle_costs(costs: Iterable[IdleCost]) -> str:
    """Return a Markdown table of the control overhead of idle fleets.

    :param costs: measured costs, one for each fleet size and role.
    """
    header = ["nodes", "role", "control B/s", "highest", "CPU of a core", "highest"]
    header += ["MB resident", "KV reads/s, fleet", "watches, fleet"]
    rows = [
        [
            str(cost.nodes),
            cost.role,
            format_number(cost.bytes_per_s),
            format_number(cost.max_bytes_per_s),
            f"{cost.cpu_ratio:.2%}",
            f"{cost.max_cpu_ratio:.2%}",
            format_number(cost.resident_bytes / 1e6),
            format_number(cost.key_value_reads_per_s),
            str(cost.watches),
        ]
        for cost in costs
    ]
    return format_table(header, rows)
