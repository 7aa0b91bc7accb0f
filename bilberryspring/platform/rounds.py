"""Run days of the operators' benchmark with one or two versions of the programs.

Each version runs in a separate checkout, so that the sources can be edited meanwhile.
Reports are decoded into rows, printed as a table and written as JSON. The output of
each day that broke a rule or failed is kept.
"""

import json
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

__all__ = ["DayResult", "decode_report", "format_table", "main", "run_day"]

# A day of a large deployment takes up to six minutes when others run in parallel.
DAY_TIMEOUT_S = 1200.0
WORKING_TREE_VERSION = "working tree"


@dataclass(frozen=True, slots=True)
class DayResult:
    """Results of one benchmark day.

    :param version: version of the programs.
    :param day: name of the day.
    :param seed: seed of the day; empty for its default seed.
    :param rules: number of violations of each broken rule.
    :param faults: errors that the benchmark reported; empty if there were none.
    :param worth: benefit earned minus the prices charged, divided by the benefit due.
    :param served: share of requests that were served.
    :param refused: share of requests that were refused.
    :param failed: share of requests that failed.
    :param by_kind: share of the worth that each kind of request earned.
    :param cpu_cores: mean processor use in cores of the router that used most.
    :param memory_mb: peak memory in MB of the router that used most.
    """

    version: str
    day: str
    seed: str
    rules: Mapping[str, int]
    faults: str
    worth: float
    served: float
    refused: float
    failed: float
    by_kind: Mapping[str, float]
    cpu_cores: float
    memory_mb: float


def decode_report(version: str, day: str, seed: str, report: Mapping) -> DayResult:
    """Decode the benchmark's report of one day.

    :param version: version of the programs.
    :param day: name of the day.
    :param seed: seed of the day; empty for its default seed.
    :param report: the report, decoded from JSON.
    :raises KeyError: if a field is missing.
    """
    nodes = report["nodes"]
    # The report names the worth ``G`` and the broken rules ``breaks``.
    return DayResult(
        version=version,
        day=day,
        seed=seed,
        rules=dict(report["breaks"]),
        faults=report["fault"] or "; ".join(map(str, report["short"])),
        worth=report["G"],
        served=report["served"],
        refused=report["refused"],
        failed=report["failed"],
        by_kind={kind["name"]: kind["worth"] for kind in report["classes"]},
        cpu_cores=max((node["cpu_mean"] for node in nodes), default=0.0),
        memory_mb=max((node["mem_peak_mb"] for node in nodes), default=0.0),
    )


def format_table(days: Sequence[DayResult]) -> str:
    """Return a text table with one line for each day, and the mean worth per version.

    :param days: results of at least one day.
    """
    lines = [
        f"{'version':14} {'day':12} {'seed':>8} {'worth':>6} {'served':>6} "
        f"{'refused':>7} {'failed':>6} {'cores':>6} {'MB':>5}  rules"
    ]
    for result in days:
        rules = " ".join(f"{name} {count}" for name, count in result.rules.items())
        lines.append(
            f"{result.version[:14]:14} {result.day[:12]:12} {result.seed:>8} "
            f"{result.worth:6.3f} {result.served:6.3f} {result.refused:7.3f} "
            f"{result.failed:6.3f} {result.cpu_cores:6.3f} {result.memory_mb:5.1f}  "
            f"{rules or result.faults or 'kept'}"
        )
    for version in dict.fromkeys(result.version for result in days):
        worths = [result.worth for result in days if result.version == version]
        lines.append(f"{version[:14]:14} mean worth {sum(worths) / len(worths):.3f}")
    return "\n".join(lines)


def run_day(
    bench_path: Path,
    deployment_path: Path,
    checkout_path: Path,
    output_path: Path,
    day: str,
    seed: str,
    version: str,
) -> DayResult | str:
    """Run one benchmark day.

    :param bench_path: program of the benchmark.
    :param deployment_path: file that describes the deployment.
    :param checkout_path: checkout of the programs to run.
    :param output_path: directory for reports and for the output of failed days.
    :param day: name of the day.
    :param seed: seed of the day; empty for its default seed.
    :param version: version of the programs in the checkout.
    :returns: the results, or a message that says why there is no report.
    """
    name = "-".join(filter(None, [version.replace(" ", "-")[:12], day, seed]))
    report_path, log_path = output_path / f"{name}.json", output_path / f"{name}.log"
    command = [
        str(bench_path),
        "run",
        str(deployment_path),
        day,
        "--report",
        str(report_path),
    ]
    command += ["--seed", seed] if seed else []
    with log_path.open("wb") as stream:
        try:
            subprocess.run(
                command,
                cwd=checkout_path,
                stdout=stream,
                stderr=subprocess.STDOUT,
                timeout=DAY_TIMEOUT_S,
                check=False,
            )
            report = json.loads(report_path.read_text())
            result = decode_report(version, day, seed, report)
        except (subprocess.TimeoutExpired, OSError, ValueError, KeyError) as error:
            return f"{name}: no report ({error!r}); its output is in {log_path}"
    if not result.rules and not result.faults:
        log_path.unlink()
    return result


def _make_checkout(root: Path, revision: str, folder: Path) -> Path:
    checkout = folder / (revision or "tree")
    if revision:
        subprocess.run(
            ["git", "clone", "-q", "--no-local", str(root), str(checkout)], check=True
        )
        subprocess.run(["git", "checkout", "-q", revision], cwd=checkout, check=True)
    else:
        ignored_names = shutil.ignore_patterns(
            ".venv", "journal", "__pycache__", "runs"
        )
        shutil.copytree(root, checkout, ignore=ignored_names)
    return checkout


class BenchRunsCommand(Command):
    """A command that runs benchmark days and compares versions."""

    name = "rounds"
    description = "Runs days of a deployment with this version, and with another one."
    arguments = [
        argument("bench", "Program of the benchmark."),
        argument("site", "File that describes the deployment."),
        argument("days", "Names of days.", multiple=True),
    ]
    options = [
        option(
            "seeds",
            None,
            "Seeds, separated by commas; by default the days' own.",
            flag=False,
        ),
        option("against", None, "Revision to compare with.", flag=False),
        option(
            "jobs", None, "Number of days to run in parallel.", flag=False, default="4"
        ),
        option(
            "out", None, "Directory for reports and logs.", flag=False, default="runs"
        ),
        option("work", None, "Directory for checkouts, not in /tmp.", flag=False),
    ]

    def handle(self) -> int:
        """Run every day, then print the table.

        :returns: exit code: one if a rule was broken or a day has no report, else zero.
        """
        bench_path = Path(self.argument("bench")).resolve()
        deployment_path = Path(self.argument("site")).resolve()
        output_path = Path(self.option("out")).resolve()
        output_path.mkdir(parents=True, exist_ok=True)
        root = Path.cwd()
        versions = [""] + ([self.option("against")] if self.option("against") else [])
        seeds = (self.option("seeds") or "").split(",")
        parent = self.option("work") or root.parent
        with tempfile.TemporaryDirectory(prefix="rounds-", dir=parent) as folder:
            checkouts = [
                _make_checkout(root, revision, Path(folder)) for revision in versions
            ]
            runs = [
                (
                    bench_path,
                    deployment_path,
                    checkout,
                    output_path,
                    day,
                    seed,
                    version or WORKING_TREE_VERSION,
                )
                for day in self.argument("days")
                for seed in seeds
                for version, checkout in zip(versions, checkouts, strict=True)
            ]
            with ThreadPoolExecutor(int(self.option("jobs"))) as pool:
                results = list(pool.map(lambda run: run_day(*run), runs))
        days = [result for result in results if isinstance(result, DayResult)]
        for error in (result for result in results if isinstance(result, str)):
            self.line_error(f"<error>{error}</error>")
        if days:
            self.line(format_table(days))
        rows = [asdict(result) for result in days]
        (output_path / "rounds.json").write_text(json.dumps(rows, indent=1) + "\n")
        is_passed = len(days) == len(results) and not any(
            result.rules for result in days
        )
        return 0 if is_passed else 1


def main() -> int:
    """Run the command line.

    :returns: exit code.
    """
    application = Application("bilberryspring-rounds")
    application.add(BenchRunsCommand())
    application.auto_exits(False)
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
