"""Control-plane resource budget of a node, compared with its actual usage."""

import time
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any, TypeVar

from bilberryspring.process.accounting import Ledger

__all__ = [
    "Budget",
    "BudgetUsage",
    "measure_control_cpu",
    "check_budget",
    "read_resident_bytes",
]

MAX_CONTROL_BYTES_PER_S = 10_000
MAX_CONTROL_CPU_RATIO = 0.017
MAX_CONTROL_MEMORY_BYTES = 256_000_000

T = TypeVar("T")


class Budget(Enum):
    """Budgeted resource; its value names its unit."""

    BYTES_PER_S = "bytes_per_s"
    CPU_RATIO = "cpu_ratio"
    MEMORY_BYTES = "memory_bytes"


BUDGET_LIMITS = {
    Budget.BYTES_PER_S: MAX_CONTROL_BYTES_PER_S,
    Budget.CPU_RATIO: MAX_CONTROL_CPU_RATIO,
    Budget.MEMORY_BYTES: MAX_CONTROL_MEMORY_BYTES,
}


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """Usage of one budgeted resource and its limit.

    :param budget: the budgeted resource.
    :param used: usage, in the unit of the budget.
    :param limit: highest usage allowed, in the unit of the budget.
    """

    budget: Budget
    used: float
    limit: float

    @property
    def is_within_limit(self) -> bool:
        """Whether the usage does not exceed the limit."""
        return self.used <= self.limit


def read_resident_bytes() -> int:
    """Return the resident set size of this process in bytes; zero if unknown."""
    try:
        status = Path("/proc/self/status").read_text(encoding="ascii")
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def check_budget(ledger: Ledger) -> list[BudgetUsage]:
    """Compare the resource usage of a process with its budget.

    Bytes are the mean control bytes per second, sent and received, since counting
    started. CPU is the mean ratio of the time measured by :func:`measure_control_cpu`.
    Memory is the resident set of the whole process, which is more than control alone
    uses.

    :param ledger: control usage of the process.
    :returns: usage and limit of each budgeted resource.

    >>> from bilberryspring.process.accounting import make_ledger
    >>> [usage.budget.value for usage in check_budget(make_ledger())]
    ['bytes_per_s', 'cpu_ratio', 'memory_bytes']
    """
    elapsed_s = max(time.monotonic() - ledger.started_monotonic_s, 1e-9)
    used = {
        Budget.BYTES_PER_S: sum(bytes_per_s for _, _, bytes_per_s in ledger.rates()),
        Budget.CPU_RATIO: ledger.control_cpu_s / elapsed_s,
        Budget.MEMORY_BYTES: read_resident_bytes(),
    }
    return [
        BudgetUsage(budget, used[budget], BUDGET_LIMITS[budget]) for budget in Budget
    ]


class _CpuMeteredCoroutine(Coroutine[Any, Any, T]):
    """Wrapper that adds the CPU time of each step of a coroutine to a ledger.

    It implements the coroutine protocol itself, so that a task that is cancelled
    before its first step closes the wrapped coroutine.
    """

    def __init__(self, ledger: Ledger, coroutine: Coroutine[Any, Any, T]) -> None:
        self._ledger = ledger
        self._coroutine = coroutine

    def send(self, value: Any) -> Any:
        return self._run_step(self._coroutine.send, value)

    def throw(self, *error: Any) -> Any:
        return self._run_step(self._coroutine.throw, *error)

    def close(self) -> None:
        self._coroutine.close()

    def __await__(self) -> Generator[Any, Any, T]:
        return self

    def __next__(self) -> Any:
        return self.send(None)

    def _run_step(self, step: Callable[..., Any], *arguments: Any) -> Any:
        started_s = time.thread_time()
        try:
            return step(*arguments)
        finally:
            self._ledger.control_cpu_s += time.thread_time() - started_s


def measure_control_cpu(
    ledger: Ledger, coroutine: Coroutine[Any, Any, T]
) -> Coroutine[Any, Any, T]:
    """Wrap a coroutine so that its CPU time counts as control usage.

    :param ledger: ledger of the process, to which the CPU time is added.
    :param coroutine: coroutine of a control mechanism.
    :returns: equivalent coroutine, to be awaited or run as a task.
    """
    return _CpuMeteredCoroutine(ledger, coroutine)
