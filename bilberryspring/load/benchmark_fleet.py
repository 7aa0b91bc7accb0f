"""Fleet for benchmarks: one router, and two agents with their stand-ins."""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

from bilberryspring.load.path_benchmark import BenchPaths
from bilberryspring.load.workload_mixes import (
    WorkloadMix,
    find_mix,
    make_configuration_document,
)
from bilberryspring.standin.fleet import make_fleet

__all__ = ["run_bench_fleet"]

SETTLE_TIME_S = 1.0
ENGINE_MAX_BATCH = 64
DECODE_INTERVAL_S = 0.001
PREFILL_TOKENS_PER_S = 1e6
MAX_RUNNING = 256
LOAD_FLOOR = 1e6

T = TypeVar("T")


async def run_bench_fleet(
    measure: Callable[[BenchPaths, int], Awaitable[T]], rounds: int
) -> T:
    """Start the fleet, run a benchmark on it and stop the fleet.

    :param measure: benchmark, called with the addresses and the number of rounds.
    :param rounds: number of rounds on each path.
    :returns: result of the benchmark.
    """
    mix = find_mix("printing-works")
    zone = mix.availability_zones[0]
    with tempfile.TemporaryDirectory(prefix="bilberryspring-bench-") as directory:
        async with make_fleet(Path(directory), mix.region) as fleet:
            await fleet.start_platform()
            await fleet.publish(_make_bench_document(mix))
            router = await fleet.add_router(zone)
            engine = await fleet.add_engine(
                mix.engine_pool,
                zone,
                models=[mix.model],
                prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
                decode_interval_s=DECODE_INTERVAL_S,
                max_batch=ENGINE_MAX_BATCH,
            )
            service = await fleet.add_service(
                mix.service_pool, zone, service_time_s=0.0, max_running=MAX_RUNNING
            )
            await fleet.wait_ready()
            await asyncio.sleep(SETTLE_TIME_S)
            idempotent = [work for work in mix.service_calls if work.is_idempotent]
            paths = BenchPaths(
                router_address=router.caller_address,
                service_address=service.backend.settings["address"],
                engine_address=engine.backend.settings["address"],
                service_route=idempotent[0].route,
                model=mix.model,
                workspace=next(iter(mix.workspace_shares)),
                process_ids={
                    "router": router.process.pid,
                    "engine agent": engine.process.pid,
                    "service agent": service.process.pid,
                },
            )
            return await measure(paths, rounds)


def _make_bench_document(mix: WorkloadMix) -> dict[str, list[dict[str, object]]]:
    document = make_configuration_document(mix, "bounded_rendezvous")
    for pool in document["pools"]:
        pool["max_running"] = MAX_RUNNING
        pool["load_floor"] = LOAD_FLOOR
    return document
