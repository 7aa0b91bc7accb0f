"""Play days of the operators' bench with one or two versions of the programs.

Each version is played in a clone of its own, so that work on the sources goes on.
Reports are decoded into rows, printed as a table and written as JSON; the output of
each day that broke a rule or the gate is kept.
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

__all__ = ["PlayedDay", "decode_report", "format_table", "main", "play_day"]

# A day of a large deployment takes up to six minutes beside others.
DAY_TIMEOUT_S = 1200.0
WORKING_TREE = "working tree"


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """What one day showed.

    :param seed: the day's seed, empty for its own.
    :param rules: broken rules with their counts.
    :param worth: earned benefit less prices, over what was owed.
    :param by_kind: share of the worth that each kind of request earned.
    :param cpu_cores: mean processor use of a router.
    :param memory_mb: peak memory of a router.
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


def decode_report(version: str, day: str, seed: str, report: Mapping) -> PlayedDay:
    """Decode the bench's report of one day.

    :param version: version of the programs.
    :param day: name of the day.
    :param seed: its seed, empty for its own.
    :param report: the document.
    :raises KeyError: if a field is missing.
    """
    nodes = report["nodes"]
    # The bench calls the worth G, and broken rules breaks.
    return PlayedDay(
        version=version,
        day=day,
        seed=seed,
        rules=dict(report["breaks"]),
        faults=report["fault"] or "; ".join(map(str, report["short"])),
        worth=report["G"],
        served=report["served"],
        refused=report["refused"],
        failed=report["failed"],
        by_kind={each["name"]: each["worth"] for each in report["classes"]},
        cpu_cores=max((each["cpu_mean"] for each in nodes), default=0.0),
        memory_mb=max((each["mem_peak_mb"] for each in nodes), default=0.0),
    )


def format_table(days: Sequence[PlayedDay]) -> str:
    """Return a table with a line for each day.

    :param days: what was played.
    """
    lines = [
        f"{'version':14} {'day':12} {'seed':>8} {'worth':>6} {'served':>6} "
        f"{'refused':>7} {'failed':>6} {'cores':>6} {'MB':>5}  rules"
    ]
    for each in days:
        rules = " ".join(f"{name} {count}" for name, count in each.rules.items())
        lines.append(
            f"{each.version[:14]:14} {each.day[:12]:12} {each.seed:>8} "
            f"{each.worth:6.3f} {each.served:6.3f} {each.refused:7.3f} "
            f"{each.failed:6.3f} {each.cpu_cores:6.3f} {each.memory_mb:5.1f}  "
            f"{rules or each.faults or 'kept'}"
        )
    for version in dict.fromkeys(each.version for each in days):
        worths = [each.worth for each in days if each.version == version]
        lines.append(f"{version[:14]:14} mean worth {sum(worths) / len(worths):.3f}")
    return "\n".join(lines)


def play_day(
    bench: Path, site: Path, clone: Path, out: Path, day: str, seed: str, version: str
) -> PlayedDay | str:
    """Play one day.

    :param bench: the bench's program.
    :param site: file of the deployment.
    :param clone: checkout that is played.
    :param out: folder for reports and for the output of failed days.
    :param day: name of the day.
    :param seed: its seed, empty for its own.
    :param version: version that the clone holds.
    :returns: what it showed, or why there is no report.
    """
    name = "-".join(filter(None, [version.replace(" ", "-")[:12], day, seed]))
    report, output = out / f"{name}.json", out / f"{name}.log"
    command = [str(bench), "run", str(site), day, "--report", str(report)]
    command += ["--seed", seed] if seed else []
    with output.open("wb") as stream:
        try:
            subprocess.run(
                command,
                cwd=clone,
                stdout=stream,
                stderr=subprocess.STDOUT,
                timeout=DAY_TIMEOUT_S,
                check=False,
            )
            found = json.loads(report.read_text())
            played = decode_report(version, day, seed, found)
        except (subprocess.TimeoutExpired, OSError, ValueError, KeyError) as error:
            return f"{name}: no report ({error!r}); its output is {output}"
    if not played.rules and not played.faults:
        output.unlink()
    return played


def _make_clone(root: Path, revision: str, folder: Path) -> Path:
    clone = folder / (revision or "tree")
    if revision:
        subprocess.run(
            ["git", "clone", "-q", "--no-local", str(root), str(clone)], check=True
        )
        subprocess.run(["git", "checkout", "-q", revision], cwd=clone, check=True)
    else:
        ignored = shutil.ignore_patterns(".venv", "journal", "__pycache__", "runs")
        shutil.copytree(root, clone, ignore=ignored)
    return clone


class RoundsCommand(Command):
    """Play days and compare versions."""

    name = "rounds"
    description = "Plays days of a site with this version, and with another one."
    arguments = [
        argument("bench", "The bench's program."),
        argument("site", "File of the deployment."),
        argument("days", "Names of days.", multiple=True),
    ]
    options = [
        option("seeds", None, "Seeds with commas; the days' own.", flag=False),
        option("against", None, "Revision to compare with.", flag=False),
        option("jobs", None, "Days at a time.", flag=False, default="4"),
        option("out", None, "Folder for reports and logs.", flag=False, default="runs"),
        option("work", None, "Folder for clones, not in /tmp.", flag=False),
    ]

    def handle(self) -> int:
        """Play every day, then print the table.

        :returns: one if a rule was broken or a day has no report.
        """
        bench = Path(self.argument("bench")).resolve()
        site = Path(self.argument("site")).resolve()
        out = Path(self.option("out")).resolve()
        out.mkdir(parents=True, exist_ok=True)
        root = Path.cwd()
        versions = [""] + ([self.option("against")] if self.option("against") else [])
        seeds = (self.option("seeds") or "").split(",")
        parent = self.option("work") or root.parent
        with tempfile.TemporaryDirectory(prefix="rounds-", dir=parent) as folder:
            clones = [_make_clone(root, each, Path(folder)) for each in versions]
            plays = [
                (bench, site, clone, out, day, seed, version or WORKING_TREE)
                for day in self.argument("days")
                for seed in seeds
                for version, clone in zip(versions, clones, strict=True)
            ]
            with ThreadPoolExecutor(int(self.option("jobs"))) as pool:
                found = list(pool.map(lambda play: play_day(*play), plays))
        days = [each for each in found if isinstance(each, PlayedDay)]
        for fault in (each for each in found if isinstance(each, str)):
            self.line_error(f"<error>{fault}</error>")
        if days:
            self.line(format_table(days))
        table = [asdict(each) for each in days]
        (out / "rounds.json").write_text(json.dumps(table, indent=1) + "\n")
        is_kept = len(days) == len(found) and not any(each.rules for each in days)
        return 0 if is_kept else 1


def main() -> int:
    """Run the command.

    :returns: exit code.
    """
    application = Application("bilberryspring-rounds")
    application.add(RoundsCommand())
    application.auto_exits(False)
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
