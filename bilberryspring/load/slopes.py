"""Cost slopes: memory or CPU time as a linear function of a size.

A case builds a state object, or prepares an operation, at several sizes in this
process. A linear regression over the measurements gives the cost of one more item and
the fixed cost.
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
    """Memory measurement of a state object at several sizes.

    :param name: name of the case, which describes the state object.
    :param item: what the size counts.
    :param sizes: numbers of items to measure.
    :param build: returns the state object with a given number of items.
    """

    name: str
    item: str
    sizes: tuple[int, ...]
    build: StateBuilder


@dataclass(frozen=True, slots=True)
class CpuCase:
    """CPU time measurement of an operation at several sizes.

    :param name: name of the case, which describes the operation.
    :param item: what the size counts; empty if the cost does not depend on a size.
    :param sizes: sizes to measure.
    :param prepare: returns the operation for a given size.
    """

    name: str
    item: str
    sizes: tuple[int, ...]
    prepare: OperationFactory


@dataclass(frozen=True, slots=True)
class Slope:
    """Linear cost function fitted to measurements.

    :param name: name of the case.
    :param item: what the size counts; empty if the cost does not depend on a size.
    :param unit: unit of the cost, ``bytes`` or ``us`` (microseconds of CPU time).
    :param points: pairs of size and measured cost.
    :param per_item: cost of one more item; zero if a single size was measured.
    :param fixed: cost at size zero, or the measured cost if a single size was measured.
    """

    name: str
    item: str
    unit: str
    points: tuple[tuple[int, float], ...]
    per_item: float
    fixed: float

    def compute_cost(self, size: float) -> float:
        """Return the cost at a size, in the unit of the slope.

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
    """Register the decorated function as the builder of a memory case.

    :param name: name of the case, which describes the state object.
    :param item: what the size counts.
    :param sizes: numbers of items to measure.
    :returns: the decorator.
    """

    def register(build: StateBuilder) -> StateBuilder:
        MEMORY_CASES[name] = MemoryCase(name, item, sizes, build)
        return build

    return register


def register_cpu_case(
    name: str, item: str, sizes: tuple[int, ...]
) -> Callable[[OperationFactory], OperationFactory]:
    """Register the decorated function as the operation factory of a CPU case.

    :param name: name of the case, which describes the operation.
    :param item: what the size counts; empty if the cost does not depend on a size.
    :param sizes: sizes to measure.
    :returns: the decorator.
    """

    def register(prepare: OperationFactory) -> OperationFactory:
        CPU_CASES[name] = CpuCase(name, item, sizes, prepare)
        return prepare

    return register


def measure_memory(case: MemoryCase) -> Slope:
    """Measure the allocated memory of a state object at each size.

    :param case: case to measure.
    :returns: bytes by number of items.
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
    """Measure the CPU time of an operation at each size.

    The time at a size is the minimum over several rounds.

    :param case: case to measure.
    :returns: microseconds by size.
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
