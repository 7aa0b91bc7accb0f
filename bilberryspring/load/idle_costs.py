"""Measures the control overhead of a fleet that receives no requests."""

import asyncio
import itertools
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

import psutil

from bilberryspring.load.observation import FleetTotals, fetch_totals
from bilberryspring.load.workload_mixes import (
    WorkloadMix,
    find_mix,
    make_configuration_document,
)
from bilberryspring.standin.fleet import Fleet, make_fleet

__all__ = ["IdleCost", "measure_idle"]

ROUTERS_PER_16_NODES = 5
SETTLE_TIME_S = 6.0


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Control overhead of the nodes of one role in an idle fleet.

    :param nodes: number of nodes in the fleet.
    :param role: ``router`` or ``agent``.
    :param bytes_per_s: control payload of a node, mean over nodes.
    :param max_bytes_per_s: control payload of the node with the most.
    :param cpu_ratio: CPU time of a whole process as a ratio of one core, mean over
        nodes.
    :param max_cpu_ratio: highest CPU time of a process as a ratio of one core.
    :param resident_bytes: resident memory of a process, mean over nodes.
    :param key_value_reads_per_s: key-value read calls of the whole fleet.
    :param watches: open key-value watches of the whole fleet.
    """

    nodes: int
    role: str
    bytes_per_s: float
    max_bytes_per_s: float
    cpu_ratio: float
    max_cpu_ratio: float
    resident_bytes: float
    key_value_reads_per_s: float
    watches: int


async def measure_idle(nodes: int, duration_s: float) -> list[IdleCost]:
    """Run an idle fleet and measure its control overhead.

    :param nodes: number of routers and agents together.
    :param duration_s: duration of the measurement in seconds.
    :returns: one result for each role.
    """
    mix = find_mix("printing-works")
    with tempfile.TemporaryDirectory(prefix="bilberryspring-idle-") as directory:
        async with make_fleet(Path(directory), mix.region) as fleet:
            await _start_fleet(fleet, mix, nodes)
            session, key_value = fleet.session, fleet.key_value_address
            nodes_by_name = fleet.nodes.items()
            addresses = {n: node.administration_address for n, node in nodes_by_name}
            before = await fetch_totals(session, addresses, key_value)
            before_cpu_s = _read_cpu_times(fleet)
            await asyncio.sleep(duration_s)
            after_cpu_s = _read_cpu_times(fleet)
            after = await fetch_totals(session, addresses, key_value)
            calls = await fleet.read_report(fleet.processes["key-value"], "calls")
            elapsed_s = after.at_s - before.at_s
            cpu_ratios = {
                n: (after_cpu_s[n] - before_cpu_s[n]) / elapsed_s for n in addresses
            }
            resident_bytes = {
                name: psutil.Process(node.process.pid).memory_info().rss
                for name, node in nodes_by_name
            }
            watches = calls["watches_open"]
            return [
                _summarize_role(
                    nodes, role, before, after, cpu_ratios, resident_bytes, watches
                )
                for role in ("router", "agent")
            ]


async def _start_fleet(fleet: Fleet, mix: WorkloadMix, nodes: int) -> None:
    zones = itertools.cycle(mix.availability_zones)
    await fleet.start_platform()
    await fleet.publish(make_configuration_document(mix, "bounded_rendezvous"))
    routers = max(1, nodes * ROUTERS_PER_16_NODES // 16)
    for _ in range(routers):
        await fleet.add_router(next(zones))
    for _ in range(nodes - routers):
        await fleet.add_engine(mix.engine_pool, next(zones), models=[mix.model])
    await fleet.wait_ready()
    await asyncio.sleep(SETTLE_TIME_S)


def _read_cpu_times(fleet: Fleet) -> dict[str, float]:
    used_s = {}
    for name, node in fleet.nodes.items():
        times = psutil.Process(node.process.pid).cpu_times()
        used_s[name] = times.user + times.system
    return used_s


def _summarize_role(
    nodes: int,
    role: str,
    before: FleetTotals,
    after: FleetTotals,
    cpu_ratios: Mapping[str, float],
    resident_bytes: Mapping[str, float],
    watches: int,
) -> IdleCost:
    names = [name for name in cpu_ratios if name.startswith(role)]
    elapsed_s = after.at_s - before.at_s
    rates = [
        (after.control_bytes[name] - before.control_bytes[name]) / elapsed_s
        for name in names
    ]
    ratios = [cpu_ratios[name] for name in names]
    reads = after.key_value_reads - before.key_value_reads
    return IdleCost(
        nodes,
        role,
        round(sum(rates) / len(rates), 1),
        round(max(rates), 1),
        round(sum(ratios) / len(ratios), 5),
        round(max(ratios), 5),
        round(sum(resident_bytes[name] for name in names) / len(names)),
        round(reads / elapsed_s, 3),
        watches,
    )
