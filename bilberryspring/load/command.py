"""Command line of the load generator, for development only."""

import sys
from abc import abstractmethod
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bilberryspring.load.benchmark_fleet import run_bench_fleet
from bilberryspring.load.experiment import ExperimentOptions, run_experiment
from bilberryspring.load.load_client import run_plan
from bilberryspring.load.long_chat_benchmark import run_long_chats
from bilberryspring.load.measure_commands import MEASURE_COMMANDS, write_json
from bilberryspring.load.path_benchmark import run_bench
from bilberryspring.load.replay_command import ReplayCommand
from bilberryspring.load.report import format_report, read_runs, write_report
from bilberryspring.load.request_plans import draw_plan
from bilberryspring.load.results import measure_run, write_result
from bilberryspring.load.scenarios import SCENARIOS, make_scenario
from bilberryspring.load.tables import format_bench, format_long_chats
from bilberryspring.load.workload_mixes import WORKLOAD_MIXES, WorkloadMix, find_mix
from bilberryspring.policy.placement import PLACEMENT_POLICIES

__all__ = ["main", "make_program"]

EXIT_BAD_USAGE = 2


LOAD_OPTIONS = (
    option(
        "deployment", None, f"One of {', '.join(sorted(WORKLOAD_MIXES))}", flag=False
    ),
    option("seed", None, "Seed of the load", flag=False, default="1"),
    option("duration-s", None, "Length of a run in seconds", flag=False, default="30"),
    option("follow-retry-after", None, "Retry rejected requests after Retry-After"),
)


class LoadCommand(Command):
    """A command that sends the load of a deployment."""

    @abstractmethod
    def send_load(self, mix: WorkloadMix, seed: int, duration_s: float) -> int:
        """Send the load and return the exit status.

        :param mix: deployment and its load.
        :param seed: seed of the request plan.
        :param duration_s: length of a run in seconds.
        """

    def handle(self) -> int:
        """Check the deployment, send its load and return the exit status."""
        if self.option("deployment") not in WORKLOAD_MIXES:
            return _report_bad_usage("--deployment", WORKLOAD_MIXES)
        return self.send_load(
            find_mix(self.option("deployment")),
            int(self.option("seed")),
            float(self.option("duration-s")),
        )


class RunCommand(LoadCommand):
    """Sends load to a running fleet."""

    name = "run"
    description = "Send load to running routers"
    arguments = [argument("routers", "Addresses of the routers", multiple=True)]
    options = [
        *LOAD_OPTIONS,
        option("json", None, "File to write the result to", flag=False),
    ]

    def send_load(self, mix: WorkloadMix, seed: int, duration_s: float) -> int:
        """Send the load to the running routers, then print and write the result."""
        records = uvloop.run(
            run_plan(
                draw_plan(mix, seed, duration_s),
                self.argument("routers"),
                mix.model,
                seed=seed,
                follows_retry_after=self.option("follow-retry-after"),
            )
        )
        scenario = make_scenario("steady", mix, duration_s)
        result = measure_run(mix, scenario, "as-configured", seed, duration_s, records)
        print(format_report([asdict(result)]))
        if self.option("json"):
            write_result(Path(self.option("json")), result)
        return 0


class ExperimentCommand(LoadCommand):
    """Runs scenarios against fleets of real processes and stand-in services."""

    name = "experiment"
    description = "Run scenarios against a new fleet with stand-ins and measure them"
    options = [
        *LOAD_OPTIONS,
        option("scenario", None, "Scenario", flag=False, multiple=True),
        option("policy", None, "Placement policy", flag=False, multiple=True),
        option("retry-ratio", None, "Retries for each first attempt", flag=False),
        option("zone-delays", None, "Add the network delays between zones"),
        option("output", None, "Directory of the results", flag=False, default="runs"),
    ]

    def send_load(self, mix: WorkloadMix, seed: int, duration_s: float) -> int:
        """Run each scenario with each placement policy and write the results."""
        scenarios = self.option("scenario") or list(SCENARIOS)
        policies = self.option("policy") or ["bounded_rendezvous"]
        if not set(scenarios) <= SCENARIOS.keys():
            return _report_bad_usage("--scenario", SCENARIOS)
        if not set(policies) <= PLACEMENT_POLICIES.keys():
            return _report_bad_usage("--policy", PLACEMENT_POLICIES)
        ratio = self.option("retry-ratio")
        options = ExperimentOptions(
            follows_retry_after=self.option("follow-retry-after"),
            retry_ratio=None if ratio is None else float(ratio),
            has_zone_delays=self.option("zone-delays"),
        )
        output = Path(self.option("output"))
        output.mkdir(parents=True, exist_ok=True)
        for scenario in scenarios:
            for policy in policies:
                result = uvloop.run(
                    run_experiment(mix, scenario, policy, seed, duration_s, options)
                )
                name = f"{mix.name}-{scenario}-{policy}-{result.seed}.json"
                write_result(output / name, result)
                print(
                    f"{name} reuse={result.reuse_ratio} oracle={result.oracle_ratio}"
                    f" gap_points={result.oracle_gap_points} skew={result.skew}"
                    f" tries={result.tries_per_request} runs={result.runs_per_chat}"
                )
        return 0


class ReportCommand(Command):
    """Writes a report with tables and plots from the results of runs."""

    name = "report"
    description = "Write a report with tables and plots from results of runs"
    arguments = [argument("results", "JSON files of runs", multiple=True)]
    options = [
        option("output", None, "Directory of the report", flag=False, default="report")
    ]

    def handle(self) -> int:
        """Write the report and print the paths of its files."""
        output = Path(self.option("output"))
        output.mkdir(parents=True, exist_ok=True)
        for path in write_report(
            read_runs(map(Path, self.argument("results"))), output
        ):
            print(path)
        return 0


class BenchCommand(Command):
    """Compares requests through router and agent with direct requests."""

    name = "bench"
    description = "Compare requests through router and agent with direct requests"
    options = [
        option("rounds", None, "Rounds on each path", flag=False, default="4"),
        option("long-chats", None, "Measure long chat bodies instead"),
        option("json", None, "File to write the measurements to", flag=False),
    ]

    def handle(self) -> int:
        """Measure both paths, print the table and write the JSON file if requested."""
        rounds = int(self.option("rounds"))
        if self.option("long-chats"):
            costs = uvloop.run(run_bench_fleet(run_long_chats, rounds))
            print(format_long_chats(costs))
            write_json(self.option("json"), [asdict(cost) for cost in costs])
            return 0
        result = uvloop.run(run_bench_fleet(run_bench, rounds))
        print(format_bench(result))
        write_json(self.option("json"), asdict(result))
        return 0


def _report_bad_usage(name: str, known: Iterable[str]) -> int:
    print(f"{name} must be one of {', '.join(sorted(known))}", file=sys.stderr)
    return EXIT_BAD_USAGE


COMMANDS = (
    RunCommand,
    ExperimentCommand,
    ReportCommand,
    BenchCommand,
    ReplayCommand,
    *MEASURE_COMMANDS,
)


def make_program() -> Application:
    """Return the command line application."""
    program = Application("bilberryspring-load", "0.1.0")
    for command in COMMANDS:
        program.add(command())
    return program


def main() -> None:
    """Run the command line program."""
    sys.exit(make_program().run())


if __name__ == "__main__":
    main()
