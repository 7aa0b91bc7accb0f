"""CPU time and memory per item, measured at several sizes."""

import pytest

from bilberryspring.load import measure_commands, slope_cases
from bilberryspring.load.claim_costs import measure_claims
from bilberryspring.load.slopes import (
    CPU_CASES,
    MEMORY_CASES,
    MemoryCase,
    measure_memory,
)
from bilberryspring.load.tables import format_slopes
from bilberryspring.request.errors import Failure

assert measure_commands.SLOPE_CASE_MODULES


def make_buffers(count):
    return [bytearray(1000) for _ in range(count)]


def test_memory_slope_measures_bytes_per_item():
    case = MemoryCase("buffers", "buffer", (10, 20, 40), make_buffers)
    slope = measure_memory(case)
    assert 1000 < slope.per_item < 1200
    assert slope.compute_cost(100) == pytest.approx(100 * slope.per_item, rel=0.1)
    assert "bytes a buffer" in format_slopes([slope])


@pytest.mark.parametrize("name", sorted(MEMORY_CASES))
def test_memory_case_builds_a_state_object(name):
    state = MEMORY_CASES[name].build(MEMORY_CASES[name].sizes[0])
    assert state is not None and not isinstance(state, Failure)


@pytest.mark.parametrize("name", sorted(CPU_CASES))
def test_cpu_case_runs_its_operation(name):
    result = CPU_CASES[name].prepare(CPU_CASES[name].sizes[0])()
    assert not isinstance(result, Failure)


def test_large_document_of_the_target_is_accepted_and_below_the_limit():
    raw = slope_cases.make_large_document(3400)
    assert len(raw) < 1_000_000
    assert not isinstance(slope_cases.check_document(raw), list)


@pytest.mark.parametrize(("concurrency", "most_writes"), [(1, 42), (16, 42)])
async def test_a_claim_costs_at_most_two_writes(concurrency, most_writes):
    cost = await measure_claims(concurrency, 20)
    assert 1 <= cost.writes <= most_writes
    assert cost.reads <= 2
    assert cost.bytes_per_request > 100
