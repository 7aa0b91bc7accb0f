"""Retries stay within the retry budget while backend servers fail.

Guards against retries that multiply the number of runs, and so the load, when engines
fail every request.
"""

import asyncio

import pytest

from bilberryspring.load.retry_costs import compute_max_runs
from bilberryspring.standin.fleet import make_fleet
from bilberryspring.tests.documents import (
    ENGINE_POOL,
    MODEL,
    WORKSPACE_KEY,
    make_document,
)

pytestmark = [pytest.mark.asyncio, pytest.mark.timeout(120)]

REQUEST_COUNT = 150
CONCURRENCY = 10
ENGINE_COUNT = 3
RETRY_RATIO = 0.2


async def count_runs(directory, retry_ratio, failing, faults):
    """Return the number of runs of one router's requests while engines fail.

    :param directory: directory of the fleet.
    :param retry_ratio: retries that the router may add per request.
    :param failing: number of engines that fail.
    :param faults: faults of these engines.
    """
    async with make_fleet(directory) as fleet:
        await fleet.start_platform()
        await fleet.publish(make_document())
        agents = [
            await fleet.add_engine(ENGINE_POOL, "z", models=[MODEL])
            for _ in range(ENGINE_COUNT)
        ]
        router = await fleet.add_router("z", retry_ratio=retry_ratio)
        await fleet.wait_ready()
        for agent in agents[:failing]:
            await fleet.set_faults(agent.backend, **faults)
        slots = asyncio.Semaphore(CONCURRENCY)

        async def send(number):
            messages = [{"role": "user", "content": f"roll of ward {number}"}]
            async with slots:
                await fleet.chat(
                    router, WORKSPACE_KEY, messages, model=MODEL, max_tokens=8
                )

        await asyncio.gather(*map(send, range(REQUEST_COUNT)))
        return sum(len(fleet.read_runs(agent)) for agent in agents)


@pytest.mark.parametrize("failing", [1, ENGINE_COUNT])
@pytest.mark.parametrize("events", [0, 2])
async def test_runs_stay_within_the_budget(tmp_path, failing, events):
    faults = {"cut_each_after_events": events}
    runs = await count_runs(tmp_path, RETRY_RATIO, failing, faults)
    assert REQUEST_COUNT < runs <= compute_max_runs(REQUEST_COUNT, 1, RETRY_RATIO)


async def test_more_budget_allows_more_runs(tmp_path):
    faults = {"cut_each_after_events": 2}
    runs = await count_runs(tmp_path, 1.0, ENGINE_COUNT, faults)
    assert (
        compute_max_runs(REQUEST_COUNT, 1, RETRY_RATIO)
        < runs
        <= compute_max_runs(REQUEST_COUNT, 1, 1.0)
    )
