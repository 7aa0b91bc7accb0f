"""Slopes: what one more item costs in memory and processor time.

A case builds a state object, or an operation, at several sizes in this process; a
straight line through the measurements gives the cost of an item and the fixed part.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

__all__ = [
    "CPU_CASES",
    "MEMORY_CASES",
    "CpuCase",
    "MemoryCase",
    "Slope",
    "measure_cpu",
    "measure_memory",
    "register_cpu_case",
    "register_memory_case",
]

MIN_TIMING_S = 0.05
TIMING_ROUNDS = 5

StateBuilder = Callable[[int], object]
OperationFactory = Callable[[int], Callable[[], object]]


@dataclass(frozen=True, slots=True)
class MemoryCase:
    """A state object that is filled to several sizes.

    :param name: what is kept.
    :param item: what is counted.
    :param sizes: numbers of items.
    :param build: returns the state object with so many items.
    """

    name: str
    item: str
    sizes: tuple[int, ...]
    build: StateBuilder


@dataclass(frozen=True, slots=True)
class CpuCase:
    """An operation whose time depends on a size.

    :param name: what is done.
    :param item: what the size counts.
    :param sizes: sizes to measure.
    :param prepare: returns the operation at a size.
    """

    name: str
    item: str
    sizes: tuple[int, ...]
    prepare: OperationFactory


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measurements.

    :param name: what was measured.
    :param item: what the size counts.
    :param unit: ``bytes`` or ``us``.
    :param points: pairs of size and measured value.
    :param per_item: cost of one more item.
    :param fixed: cost at size zero; the only cost when one size was measured.
    """

    name: str
    item: str
    unit: str
    points: tuple[tuple[int, float], ...]
    per_item: float
    fixed: float

    def compute_cost(self, size: float) -> float:
        """Return the cost at a size.

        :param size: number of items.

        >>> Slope("s", "i", "us", ((1, 3.0), (2, 5.0)), 2.0, 1.0).compute_cost(10)
        21.0
        """
        return self.fixed + self.per_item * size


MEMORY_CASES: dict[str, MemoryCase] = {}
CPU_CASES: dict[str, CpuCase] = {}


def register_memory_case(
    name: str, item: str, sizes: tuple[int, ...]
) -> Callable[[StateBuilder], StateBuilder]:
    """Register the decorated builder as a memory case.

    :param name: what is kept.
    :param item: what is counted.
    :param sizes: numbers of items.
    :returns: the decorator.
    """

    def register(build: StateBuilder) -> StateBuilder:
        MEMORY_CASES[name] = MemoryCase(name, item, sizes, build)
        return build

    return register


def register_cpu_case(
    name: str, item: str, sizes: tuple[int, ...]
) -> Callable[[OperationFactory], OperationFactory]:
    """Register the decorated function as a processor time case.

    :param name: what is done.
    :param item: what the size counts.
    :param sizes: sizes to measure.
    :returns: the decorator.
    """

    def register(prepare: OperationFactory) -> OperationFactory:
        CPU_CASES[name] = CpuCase(name, item, sizes, prepare)
        return prepare

    return register


def measure_memory(case: MemoryCase) -> Slope:
    """Measure the traced memory of a state object at each size.

    :param case: what is built.
    """
    case.build(case.sizes[0])
    points = tuple((size, _trace_memory(case.build, size)) for size in case.sizes)
    return _fit_line(case.name, case.item, "bytes", points)


def _trace_memory(build: StateBuilder, size: int) -> float:
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    state = build(size)
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return float(after_bytes - before_bytes)


def measure_cpu(case: CpuCase) -> Slope:
    """Measure the processor time of an operation at each size, best of some rounds.

    :param case: what is done.
    """
    points = tuple((size, _time_operation(case.prepare(size))) for size in case.sizes)
    return _fit_line(case.name, case.item, "us", points)


def _time_operation(operation: Callable[[], object]) -> float:
    operation()
    repeats = 1
    while (elapsed_s := _time_repeats(operation, repeats)) < MIN_TIMING_S:
        repeats *= 2
    rounds_s = [elapsed_s]
    rounds_s += [_time_repeats(operation, repeats) for _ in range(TIMING_ROUNDS - 1)]
    return min(rounds_s) / repeats * 1e6


def _time_repeats(operation: Callable[[], object], repeats: int) -> float:
    started_s = time.process_time()
    for _ in range(repeats):
        operation()
    return time.process_time() - started_s


def _fit_line(
    name: str, item: str, unit: str, points: tuple[tuple[int, float], ...]
) -> Slope:
    if len(points) == 1:
        return Slope(name, item, unit, points, 0.0, points[0][1])
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    return Slope(name, item, unit, points, line.slope, line.intercept)
