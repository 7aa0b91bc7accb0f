"""Development commands that measure costs and derive the required capacity."""

import asyncio
import json
import sys
from abc import abstractmethod
from dataclasses import asdict
from pathlib import Path
from typing import Any

import uvloop
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bilberryspring.load import (
    slope_cases,
    slope_cases_admission,
    slope_cases_answers,
    slope_cases_exchange,
    slope_cases_lists,
    slope_cases_versions,
)
from bilberryspring.load.capacity import (
    Target,
    derive_figures,
    derive_rollout_figures,
    format_figures,
)
from bilberryspring.load.claim_costs import ClaimCost, measure_claims
from bilberryspring.load.connection_costs import measure_connections
from bilberryspring.load.dissemination import (
    DisseminationResult,
    format_dissemination,
    measure_dissemination,
)
from bilberryspring.load.idle_costs import IdleCost, measure_idle
from bilberryspring.load.reading_costs import (
    CHUNK_SIZES,
    ReadingCost,
    format_reading_costs,
    measure_reading,
)
from bilberryspring.load.slopes import (
    CPU_CASES,
    MEMORY_CASES,
    Slope,
    measure_cpu,
    measure_memory,
)
from bilberryspring.load.tables import (
    format_claim_costs,
    format_idle_costs,
    format_slopes,
)
from bilberryspring.process.logs import configure_logs

__all__ = ["MEASURE_COMMANDS", "SLOPE_CASE_MODULES", "write_json"]

EXIT_BAD_USAGE = 2
CONNECTION_CASE = "connection, both ends"
IDLE_NODE_COUNTS = (6, 12, 24)
CLAIM_CONCURRENCIES = (1, 4, 16, 64)
JSON_OPTION = option("json", None, "File to write the measurements to", flag=False)
# Importing these modules registers their cases.
SLOPE_CASE_MODULES = (
    slope_cases,
    slope_cases_admission,
    slope_cases_answers,
    slope_cases_exchange,
    slope_cases_lists,
    slope_cases_versions,
)


def write_json(path: str | None, document: object) -> None:
    """Write a JSON document to a file, if a path is given.

    :param path: file to write; ``None`` or empty to write nothing.
    :param document: JSON values.
    """
    if path:
        text = json.dumps(document, indent=1, ensure_ascii=False)
        Path(path).write_text(text + "\n", encoding="utf-8")


class MeasureCommand(Command):
    """A command that prints its measurements as a table and can write them as JSON."""

    @abstractmethod
    def measure(self) -> list[Any]:
        """Return the measurements as dataclasses; empty if no case was selected."""

    @abstractmethod
    def format_measurements(self, measured: list[Any]) -> str:
        """Return the measurements as a Markdown table.

        :param measured: measurements that :meth:`measure` returned.
        """

    def handle(self) -> int:
        """Measure, print the table and write the JSON file if one is requested."""
        measured = self.measure()
        if not measured:
            return EXIT_BAD_USAGE
        print(self.format_measurements(measured))
        write_json(self.option("json"), [asdict(each) for each in measured])
        return 0


class SlopesCommand(MeasureCommand):
    """Measures the memory and CPU time that one more item costs."""

    name = "slopes"
    description = "Measure cost slopes of state objects and operations"
    options = [
        option("only", None, "Only cases whose name contains this", flag=False),
        JSON_OPTION,
    ]

    def measure(self) -> list[Slope]:
        """Measure the cases whose names contain the value of the option."""
        name_part = self.option("only") or ""
        slopes: list[Slope] = []
        # Connections come first: they could otherwise reuse memory that other cases
        # have freed, which would not show as resident memory.
        if name_part in CONNECTION_CASE:
            slopes.append(uvloop.run(measure_connections()))
        for name, memory_case in MEMORY_CASES.items():
            if name_part in name:
                slopes.append(measure_memory(memory_case))
        for name, cpu_case in CPU_CASES.items():
            if name_part in name:
                slopes.append(measure_cpu(cpu_case))
        if not slopes:
            print(f"no case contains {name_part!r}", file=sys.stderr)
        return slopes

    def format_measurements(self, measured: list[Slope]) -> str:
        """Return a table with a row for each slope."""
        return format_slopes(measured)


class CapacityCommand(Command):
    """Derives the resources of a router and an agent at the target size."""

    name = "capacity"
    description = "Derive the resources at the target size from measured slopes"
    arguments = [argument("slopes", "JSON file that the slopes command wrote")]

    def handle(self) -> int:
        """Derive the resources from the slopes and print them as tables."""
        text = Path(self.argument("slopes")).read_text(encoding="utf-8")
        slopes = {entry["name"]: Slope(**entry) for entry in json.loads(text)}
        target = Target()
        print(format_figures(derive_figures(slopes, target)))
        print("\nDuring a rollout, while the instance list changes continuously:\n")
        print(format_figures(derive_rollout_figures(slopes, target)))
        return 0


class ClaimsCommand(MeasureCommand):
    """Measures the key-value calls of non-idempotent requests."""

    name = "claims"
    description = "Measure key-value calls of non-idempotent requests"
    options = [
        option("requests", None, "Requests per measurement", flag=False, default="400"),
        JSON_OPTION,
    ]

    def measure(self) -> list[ClaimCost]:
        """Measure each number of concurrent requests."""
        requests = int(self.option("requests"))
        return [
            asyncio.run(measure_claims(concurrency, requests))
            for concurrency in CLAIM_CONCURRENCIES
        ]

    def format_measurements(self, measured: list[ClaimCost]) -> str:
        """Return a table with a row for each number of concurrent requests."""
        return format_claim_costs(measured)


class IdleCommand(MeasureCommand):
    """Measures the control overhead of idle fleets of several sizes."""

    name = "idle"
    description = "Measure the control overhead of idle fleets"
    options = [
        option("nodes", None, "Number of nodes", flag=False, multiple=True),
        option("duration-s", None, "Run length in seconds", flag=False, default="15"),
        JSON_OPTION,
    ]

    def measure(self) -> list[IdleCost]:
        """Measure each fleet size."""
        duration_s = float(self.option("duration-s"))
        costs = []
        for nodes in self.option("nodes") or IDLE_NODE_COUNTS:
            costs += uvloop.run(measure_idle(int(nodes), duration_s))
        return costs

    def format_measurements(self, measured: list[IdleCost]) -> str:
        """Return a table with a row for each fleet size and role."""
        return format_idle_costs(measured)


class DisseminationCommand(MeasureCommand):
    """Measures the propagation of configuration changes to many nodes."""

    name = "dissemination"
    description = "Measure how fast configuration changes reach every node"
    options = [
        option("nodes", None, "Node counts: 30,60", flag=False, default="30,60,120"),
        option("workspaces", None, "Workspace count", flag=False, default="3400"),
        option("changes", None, "Changes per fleet", flag=False, default="20"),
        JSON_OPTION,
    ]

    def measure(self) -> list[DisseminationResult]:
        """Measure each fleet size."""
        configure_logs("WARNING", sys.stderr)
        workspaces = int(self.option("workspaces"))
        changes = int(self.option("changes"))
        return [
            uvloop.run(measure_dissemination(int(nodes), workspaces, changes))
            for nodes in self.option("nodes").split(",")
        ]

    def format_measurements(self, measured: list[DisseminationResult]) -> str:
        """Return a table with a row for each fleet size."""
        return format_dissemination(measured)


class ReadingCommand(MeasureCommand):
    """Measures the cost of reading streams in chunks of several sizes."""

    name = "reading"
    description = "Measure processor time and event loop lag of reading streams"
    options = [JSON_OPTION]

    def measure(self) -> list[ReadingCost]:
        """Measure each size of chunks."""
        return [uvloop.run(measure_reading(size)) for size in CHUNK_SIZES]

    def format_measurements(self, measured: list[ReadingCost]) -> str:
        """Return a table with a row for each size of chunks."""
        return format_reading_costs(measured)


MEASURE_COMMANDS = (
    ReadingCommand,
    SlopesCommand,
    CapacityCommand,
    ClaimsCommand,
    IdleCommand,
    DisseminationCommand,
)
