"""Text output of the operators' program."""

from datetime import UTC, datetime
from typing import Any

from bilberryspring.process.request_timeline import RequestTimeline

__all__ = [
    "format_table",
    "format_history",
    "format_status",
    "format_explanation",
    "format_timeline",
    "describe_timeline",
]


def format_table(headings: list[str], rows: list[list[object]]) -> str:
    """Format rows as a table with aligned columns.

    :param headings: heading of each column.
    :param rows: cells of each row, in the order of the headings.

    >>> print(format_table(["name", "load"], [["agent-1", 2]]))
    name     load
    agent-1  2
    """
    lines = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(headings))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_history(document: dict[str, Any]) -> str:
    """Format the accepted configuration versions as a table.

    :param document: response document of ``/v1/configuration/history``.
    """
    rows = []
    for change in document["changes"]:
        published = datetime.fromtimestamp(change["published_s"], UTC)
        counts = ", ".join(
            f"{section} {count['changed']} changed {count['removed']} removed"
            for section, count in change["counts"].items()
        )
        rows.append(
            [
                change["version"],
                published.isoformat(timespec="seconds"),
                change["operator"],
                counts or "nothing",
            ]
        )
    return format_table(["version", "published", "operator", "changes"], rows)


def format_status(document: dict[str, Any]) -> str:
    """Format the status of all nodes as a table.

    :param document: response document of ``/v1/status``.
    """
    rows = [_format_node(node) for node in document["nodes"]]
    headings = ["instance", "role", "pool", "zone", "version"]
    headings += ["load", "running", "queued", "state"]
    return format_table(headings, rows)


def _format_node(node: dict[str, Any]) -> list[object]:
    row = [node["instance_id"], node["role"], node["pool"] or "-"]
    row.append(node["availability_zone"])
    state = node["state"]
    if state is None:
        return [*row, "-", "-", "-", "-", f"no response: {node['reason']}"]
    condition = "draining" if state["is_draining"] else node["listed_state"]
    return [
        *row,
        state["configuration_version"],
        round(state["load"], 1),
        state["running"],
        state["queued"],
        condition,
    ]


def format_explanation(document: dict[str, Any]) -> str:
    """Format a placement explanation: its inputs and the ranked instances.

    :param document: response document of ``/v1/explain-placement``.
    """
    facts = [
        f"{name}: {document[name]}"
        for name in (
            "configuration_version",
            "route",
            "pool",
            "work_rank",
            "policy",
            "chat_key",
        )
    ]
    rows = [
        [place, candidate["instance_id"], candidate["availability_zone"]]
        for place, candidate in enumerate(document["candidates"], 1)
    ]
    table = format_table(["order", "instance", "zone"], rows)
    excluded = ", ".join(document["excluded"]) or "none"
    return "\n".join([*facts, table, f"excluded: {excluded}"])


def format_timeline(timeline: RequestTimeline) -> str:
    """Format the log lines of a request and the cause of its failure as text.

    :param timeline: timeline of the request, with at least one line.
    """
    parts = ["request:", *(f"  {line.text}" for line in timeline.lines)]
    if timeline.context:
        parts += [
            "process state meanwhile:",
            *(f"  {line.text}" for line in timeline.context),
        ]
    if timeline.cause is None:
        parts.append("cause of failure: none found; no line reports a final failure")
    else:
        parts += ["cause of failure:", f"  {timeline.cause.text}"]
    return "\n".join(parts)


def describe_timeline(timeline: RequestTimeline) -> dict[str, Any]:
    """Return the timeline of a request as a JSON-serializable object.

    :param timeline: timeline of the request.
    """
    deciding = timeline.cause
    return {
        "lines": [line.fields for line in timeline.lines],
        "context": [line.fields for line in timeline.context],
        "deciding": None if deciding is None else deciding.fields,
    }
