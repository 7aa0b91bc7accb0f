"""Soak test: routers keep their guarantees under random faults.

To run it with new seeds, from the root of the project::

    BILBERRYSPRING_SOAK_SEEDS=100-149 python -m pytest -n 3 \\
        bilberryspring/platform/tests/test_soak.py

Add each seed that has failed to ``SEEDS``, with a comment that names the cause.
"""

import os

import pytest

from bilberryspring.platform.tests.soak_checks import find_violations
from bilberryspring.platform.tests.soak_faults import (
    FAULT_INJECTORS,
    RESTORATION_INJECTORS,
)
from bilberryspring.platform.tests.soak_harness import SoakHarness

SEEDS_VARIABLE = "BILBERRYSPRING_SOAK_SEEDS"
SEEDS = (
    *(1, 2),
    # A server's 429 or 503 for a request that it had run was relayed.
    *(3, 6),
    # A stream that ended inside an event was relayed as complete.
    9,
)
RESTORATION_SEEDS = (
    # A configuration that was accepted right after a restoration never came into force.
    *(6, 8),
    # Routers repeated each other's suspicions of sound servers without end.
    15,
)
TEST_PATH = "bilberryspring/platform/tests/test_soak.py"


def list_seeds(default_seeds):
    first, _, last = os.environ.get(SEEDS_VARIABLE, "").partition("-")
    return range(int(first), int(last or first) + 1) if first else default_seeds


@pytest.mark.parametrize("seed", list_seeds(SEEDS))
async def test_soak(tmp_path, seed):
    await run_soak(tmp_path, seed, FAULT_INJECTORS)


@pytest.mark.parametrize("seed", list_seeds(RESTORATION_SEEDS))
async def test_soak_with_a_restored_store(tmp_path, seed):
    await run_soak(tmp_path, seed, RESTORATION_INJECTORS)


async def run_soak(tmp_path, seed, fault_injectors):
    harness = SoakHarness(tmp_path, seed, fault_injectors)
    try:
        await harness.run()
    finally:
        await harness.close()
    violations = find_violations(harness)
    command = f"{SEEDS_VARIABLE}={seed} python -m pytest {TEST_PATH}"
    recorded_events = [
        *harness.injected_faults,
        *harness.router_stops,
        *harness.server_removals,
        *harness.configuration_changes,
    ]
    assert not violations, "\n".join(
        [command, *violations[:10], *map(str, recorded_events)]
    )
