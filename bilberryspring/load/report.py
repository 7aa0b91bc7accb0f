"""Comparison report of several runs in Markdown and HTML, with plots."""

import html
import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

from bilberryspring.load.tables import format_number, format_table
from bilberryspring.load.workload_mixes import RANK_NAMES

__all__ = ["Column", "format_report", "read_runs", "write_report"]

RunDocument = dict[str, object]
MISSING_VALUE_TEXT = "–"


@dataclass(frozen=True, slots=True)
class Column:
    """A column of a comparison table.

    :param title: heading with the unit.
    :param read_value: returns the value of a run, or ``None`` if the run lacks it.
    """

    title: str
    read_value: Callable[[RunDocument], float | None]


def _make_rank_reader(
    section: str, rank: str, *path: str
) -> Callable[[RunDocument], float | None]:
    def read(run: RunDocument) -> float | None:
        value = run[section].get(rank)
        for member in path:
            value = value[member] if value is not None else None
        return value

    return read


def _make_member_reader(*path: str) -> Callable[[RunDocument], float | None]:
    def read(run: RunDocument) -> float | None:
        value: object = run
        for member in path:
            # Results written by an older version may lack a member.
            value = value.get(member) if value is not None else None
        return value

    return read


def _make_done_share_reader(rank: str) -> Callable[[RunDocument], float | None]:
    """Return a reader of the share of the requests of a work rank that completed."""

    def read(run: RunDocument) -> float | None:
        measures = run["event_ranks"].get(rank)
        if not measures or not measures["offered"]:
            return None
        return measures["done"] / measures["offered"]

    return read


POLICY_COLUMNS = (
    Column("reuse", _make_member_reader("reuse_ratio")),
    Column("max/mean", _make_member_reader("skew", "max_over_mean")),
    Column("max/mean p99", _make_member_reader("skew", "max_over_mean_p99")),
    Column("p99/mean", _make_member_reader("skew", "p99_over_mean")),
    Column("max/mean above floor", _make_member_reader("bound_skew", "max_over_mean")),
    Column("decode use", _make_member_reader("decode_use")),
    Column("oracle", _make_member_reader("oracle_ratio")),
    Column("gap, points", _make_member_reader("oracle_gap_points")),
    Column("Jain", _make_member_reader("fairness")),
    Column("control B/s mean", _make_member_reader("control", "mean_bytes_per_s")),
    Column("control B/s max", _make_member_reader("control", "max_bytes_per_s")),
    Column("control CPU max", _make_member_reader("control", "max_cpu_ratio")),
    Column("KV reads/s", _make_member_reader("control", "key_value_reads_per_s")),
    Column("KV writes/s", _make_member_reader("control", "key_value_writes_per_s")),
    Column("tries a request", _make_member_reader("tries_per_request")),
    Column("runs a chat request", _make_member_reader("runs_per_chat")),
)


def _list_rank_columns(rank: str) -> tuple[Column, ...]:
    section = "event_ranks"
    return (
        Column("offered", _make_rank_reader(section, rank, "offered")),
        Column("done share", _make_done_share_reader(rank)),
        Column(
            "goodput tok/s", _make_rank_reader(section, rank, "goodput_tokens_per_s")
        ),
        Column("first p50 s", _make_rank_reader(section, rank, "first_token", "p50_s")),
        Column("first p95 s", _make_rank_reader(section, rank, "first_token", "p95_s")),
        Column("first p99 s", _make_rank_reader(section, rank, "first_token", "p99_s")),
        Column(
            "between p95 s", _make_rank_reader(section, rank, "between_tokens", "p95_s")
        ),
        Column("whole p50 s", _make_rank_reader(section, rank, "completion", "p50_s")),
        Column("whole p95 s", _make_rank_reader(section, rank, "completion", "p95_s")),
        Column("whole p99 s", _make_rank_reader(section, rank, "completion", "p99_s")),
        Column("refusal p95 s", _make_rank_reader(section, rank, "refusal", "p95_s")),
        Column("failed", _make_rank_reader(section, rank, "failed")),
    )


SMALL_COLUMNS = (
    Column("small offered", _make_member_reader("small", "offered")),
    Column("small done", _make_member_reader("small", "done")),
    Column("small first p95 s", _make_member_reader("small", "first_token", "p95_s")),
    Column("small whole p95 s", _make_member_reader("small", "completion", "p95_s")),
    Column("large offered", _make_member_reader("large", "offered")),
    Column("large done", _make_member_reader("large", "done")),
    Column("large first p95 s", _make_member_reader("large", "first_token", "p95_s")),
    Column("large whole p95 s", _make_member_reader("large", "completion", "p95_s")),
)


def read_runs(paths: Iterable[Path]) -> list[RunDocument]:
    """Read the JSON documents of runs.

    :param paths: result files of runs.
    :returns: the documents, ordered by deployment, scenario and policy.
    """
    runs = [json.loads(path.read_text(encoding="utf-8")) for path in paths]
    return sorted(runs, key=lambda r: (r["deployment"], r["scenario"], r["policy"]))


def format_report(runs: Sequence[RunDocument]) -> str:
    """Return a Markdown page that compares runs.

    :param runs: JSON documents of runs.
    """
    parts: list[str] = []
    for deployment in sorted({run["deployment"] for run in runs}):
        selected = [run for run in runs if run["deployment"] == deployment]
        parts += [f"## {deployment}", _format_runs("Fleet", selected, POLICY_COLUMNS)]
        for rank in RANK_NAMES:
            title = f"Rank {rank}, during the event"
            parts.append(_format_runs(title, selected, _list_rank_columns(rank)))
        title = "Small and large workspaces, during the event"
        parts.append(_format_runs(title, selected, SMALL_COLUMNS))
        parts.append(_format_problems(selected))
    return "\n\n".join(parts) + "\n"


def _format_runs(
    title: str, runs: Sequence[RunDocument], columns: Sequence[Column]
) -> str:
    header = ["scenario", "policy", *(column.title for column in columns)]
    rows = [
        [str(run["scenario"]), str(run["policy"]), *_format_cells(run, columns)]
        for run in runs
    ]
    return f"### {title}\n\n{format_table(header, rows)}"


def _format_cells(run: RunDocument, columns: Sequence[Column]) -> list[str]:
    values = [column.read_value(run) for column in columns]
    return [
        MISSING_VALUE_TEXT if value is None else format_number(value)
        for value in values
    ]


def _format_problems(runs: Sequence[RunDocument]) -> str:
    rows = [
        [
            str(run["scenario"]),
            str(run["policy"]),
            ", ".join(f"{name}: {count}" for name, count in run["problems"].items()),
        ]
        for run in runs
    ]
    table = format_table(["scenario", "policy", "errors by kind"], rows)
    return f"### Errors, whole run\n\n{table}"


def write_report(runs: Sequence[RunDocument], directory: Path) -> list[Path]:
    """Write the report in Markdown and HTML, with plots.

    :param runs: JSON documents of runs.
    :param directory: existing directory to write to.
    :returns: paths of the written files.
    """
    page = format_report(runs)
    plots = [
        _plot(runs, directory / "reuse.svg", "cache reuse", POLICY_COLUMNS[0]),
        _plot(runs, directory / "skew.svg", "load, max/mean", POLICY_COLUMNS[1]),
        _plot(
            runs,
            directory / "urgent-first-token.svg",
            "urgent, first token p95 (s)",
            _list_rank_columns(RANK_NAMES[0])[4],
        ),
    ]
    markdown = directory / "report.md"
    images = "".join(f"![{path.stem}]({path.name})\n" for path in plots)
    markdown.write_text(f"# Measured runs\n\n{images}\n{page}", encoding="utf-8")
    document = directory / "report.html"
    document.write_text(_format_html(page, plots), encoding="utf-8")
    return [markdown, document, *plots]


def _plot(runs: Sequence[RunDocument], path: Path, title: str, column: Column) -> Path:
    groups = sorted({(str(r["deployment"]), str(r["scenario"])) for r in runs})
    policies = sorted({str(run["policy"]) for run in runs})
    figure, axes = pyplot.subplots(figsize=(10, 4), layout="constrained")
    width = 0.8 / len(policies)
    for position, policy in enumerate(policies):
        bar_positions, bar_heights = [], []
        for run in runs:
            value = column.read_value(run)
            if run["policy"] == policy and value is not None:
                group = groups.index((run["deployment"], run["scenario"]))
                bar_positions.append(group + position * width)
                bar_heights.append(value)
        axes.bar(bar_positions, bar_heights, width, label=policy)
    axes.set_title(title)
    labels = [f"{deployment}\n{scenario}" for deployment, scenario in groups]
    axes.set_xticks(range(len(groups)), labels, fontsize=7)
    axes.legend(fontsize=7)
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _format_html(page: str, plots: Sequence[Path]) -> str:
    images = "".join(f'<img src="{plot.name}" alt="{plot.stem}">' for plot in plots)
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        f"<title>Measured runs</title><h1>Measured runs</h1>{images}"
        f"<pre>{html.escape(page)}</pre></html>\n"
    )
