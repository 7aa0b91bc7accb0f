"""Collects metrics and loads from a running fleet during an experiment."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

from bilberryspring.load.results import ControlOverhead
from bilberryspring.process.budget import Budget

__all__ = [
    "FleetTotals",
    "LoadSamples",
    "compute_control_overhead",
    "parse_metrics",
    "fetch_totals",
    "sample_loads",
]

METRIC_PREFIX = "bilberryspring_"
LOAD_METRIC = "load"
CONTROL_BYTES_METRIC = "control_bytes_total"
BUDGET_METRIC = "budget_used"
SAMPLE_INTERVAL_S = 0.5
TIMEOUT_S = 2.0


@dataclass(slots=True)
class LoadSamples:
    """Loads of the engines of one pool, sampled over time.

    :param agent_loads: one list for each sample, with the unfinished work in tokens at
        each agent, including its queue.
    :param engine_loads: one list for each sample, with the unfinished tokens in each
        engine.
    """

    agent_loads: list[list[float]] = field(default_factory=list)
    engine_loads: list[list[float]] = field(default_factory=list)


@dataclass(slots=True)
class FleetTotals:
    """Totals of a fleet at one time.

    :param at_s: time of reading on the monotonic clock, in seconds.
    :param control_bytes: control traffic since the start of the node, by node.
    :param control_cpu_ratio: CPU time of control work since the start of the node, as a
        ratio of one core, by node.
    :param memory_bytes: resident memory by node.
    :param key_value_reads: read calls that the key-value service counted.
    :param key_value_writes: write calls that the key-value service counted.
    """

    at_s: float
    control_bytes: dict[str, float]
    control_cpu_ratio: dict[str, float]
    memory_bytes: dict[str, float]
    key_value_reads: int
    key_value_writes: int


def parse_metrics(text: str) -> dict[str, float]:
    """Return the samples of a metrics page by name and labels, without the prefix.

    :param text: metrics in Prometheus text format.

    >>> parse_metrics('# TYPE x gauge\\nbilberryspring_load 3.0\\n')
    {'load': 3.0}
    """
    samples = {}
    for line in text.splitlines():
        if line.startswith(METRIC_PREFIX):
            name, _, value = line.removeprefix(METRIC_PREFIX).rpartition(" ")
            samples[name] = float(value)
    return samples


async def _fetch_metrics(
    session: aiohttp.ClientSession, address: str
) -> dict[str, float]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with session.get(
            f"http://{address}/metrics", timeout=timeout
        ) as response:
            return parse_metrics(await response.text())
    except (aiohttp.ClientError, TimeoutError, OSError):
        return {}


async def _fetch_engine_load(
    session: aiohttp.ClientSession, address: str
) -> float | None:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with session.get(
            f"http://{address}/v1/load", timeout=timeout
        ) as response:
            return float((await response.json())["unfinished_tokens"])
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None


async def sample_loads(
    session: aiohttp.ClientSession,
    agent_addresses: Sequence[str],
    engine_addresses: Sequence[str],
    samples: LoadSamples,
) -> None:
    """Sample loads until cancelled, without the instances that do not respond.

    :param session: HTTP client.
    :param agent_addresses: administration addresses of the agents; later changes of the
        sequence take effect at the next sample.
    :param engine_addresses: addresses of the engine stand-ins; later changes of the
        sequence take effect at the next sample.
    :param samples: receives one list of each kind for each sample.
    """
    while True:
        pages = await asyncio.gather(
            *(_fetch_metrics(session, a) for a in agent_addresses)
        )
        loads = [page[LOAD_METRIC] for page in pages if LOAD_METRIC in page]
        samples.agent_loads.append(loads)
        engine_samples = await asyncio.gather(
            *(_fetch_engine_load(session, e) for e in engine_addresses)
        )
        samples.engine_loads.append(
            [load for load in engine_samples if load is not None]
        )
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def fetch_totals(
    session: aiohttp.ClientSession, node_addresses: dict[str, str], key_value: str
) -> FleetTotals:
    """Fetch the totals of every node and of the key-value stand-in.

    :param session: HTTP client.
    :param node_addresses: administration address by instance.
    :param key_value: address of the key-value stand-in.
    :returns: the totals; nodes that do not respond are left out.
    """
    pages = await asyncio.gather(
        *(_fetch_metrics(session, a) for a in node_addresses.values())
    )
    by_node = {name: p for name, p in zip(node_addresses, pages, strict=True) if p}
    async with session.get(f"http://{key_value}/standin/calls") as response:
        calls = await response.json()
    return FleetTotals(
        asyncio.get_running_loop().time(),
        {name: _sum_control_bytes(page) for name, page in by_node.items()},
        {name: _read_budget(page, Budget.CPU_RATIO) for name, page in by_node.items()},
        {n: _read_budget(page, Budget.MEMORY_BYTES) for n, page in by_node.items()},
        calls["reads"],
        calls["writes"],
    )


def _sum_control_bytes(page: dict[str, float]) -> float:
    return sum(v for name, v in page.items() if name.startswith(CONTROL_BYTES_METRIC))


def _read_budget(page: dict[str, float], budget: Budget) -> float:
    return page.get(f'{BUDGET_METRIC}{{budget="{budget.value}"}}', 0.0)


def compute_control_overhead(
    before: FleetTotals, after: FleetTotals
) -> ControlOverhead:
    """Return the control overhead between two times.

    :param before: totals at the start.
    :param after: totals at the end. Nodes that started or restarted in between do not
        count in the byte rates.
    """
    elapsed_s = max(after.at_s - before.at_s, 1e-9)
    rates = [
        (total - before.control_bytes[name]) / elapsed_s
        for name, total in after.control_bytes.items()
        if total >= before.control_bytes.get(name, float("inf"))
    ]
    return ControlOverhead(
        mean_bytes_per_s=round(sum(rates) / len(rates), 1) if rates else 0.0,
        max_bytes_per_s=round(max(rates, default=0.0), 1),
        max_cpu_ratio=round(max(after.control_cpu_ratio.values(), default=0.0), 5),
        max_memory_bytes=max(after.memory_bytes.values(), default=0.0),
        key_value_reads_per_s=round(
            (after.key_value_reads - before.key_value_reads) / elapsed_s, 2
        ),
        key_value_writes_per_s=round(
            (after.key_value_writes - before.key_value_writes) / elapsed_s, 2
        ),
    )
