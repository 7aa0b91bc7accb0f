"""Measures the propagation time and cost of configuration versions in a fleet.

All nodes run in one process with one event loop, over real connections. Times are
therefore upper bounds, while bytes and calls are the same as with separate processes.
"""

import asyncio
import statistics
import time
from dataclasses import dataclass

import aiohttp

from bilberryspring.capability.store import (
    Store,
)
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import make_ledger
from bilberryspring.standin.addresses import make_address_block
from bilberryspring.standin.configurations import make_configuration
from bilberryspring.standin.followers import FollowerFleet, make_follower_fleet
from bilberryspring.standin.key_value import (
    KeyValueSettings,
    make_key_value_application,
)
from bilberryspring.standin.serving import start_site
from bilberryspring.version.publish import (
    Publication,
    make_token,
    publish_configuration,
)

__all__ = ["DisseminationResult", "measure_dissemination", "format_dissemination"]

STANDIN_PORT = 9000
KEY_VALUE_TIMEOUT_S = 20.0
START_TIMEOUT_S = 120.0
PROPAGATION_TIMEOUT_S = 30.0
IDLE_MEASUREMENT_S = 10.0
TARGET_CHANGES_PER_DAY = 2_600
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class DisseminationResult:
    """Measures of the propagation to a number of nodes.

    :param nodes: number of nodes.
    :param workspaces: number of workspaces in the configuration.
    :param changes: number of published changes.
    :param median_s: time in seconds from acceptance until half of the nodes have
        adopted a change, median over the changes.
    :param last_s: time in seconds until all nodes have adopted a change, median over
        the changes.
    :param worst_s: maximum over the changes of the time until all nodes have adopted
        it.
    :param idle_bytes_per_s: traffic of a node without changes, in both directions.
    :param idle_calls_per_s: key-value calls per second of all nodes without changes.
    :param change_bytes: traffic of a node for one change, in both directions.
    :param rate_bytes_per_s: traffic of a node at ``TARGET_CHANGES_PER_DAY``.
    """

    nodes: int
    workspaces: int
    changes: int
    median_s: float
    last_s: float
    worst_s: float
    idle_bytes_per_s: float
    idle_calls_per_s: float
    change_bytes: float
    rate_bytes_per_s: float


async def measure_dissemination(
    nodes: int, workspaces: int, changes: int
) -> DisseminationResult:
    """Publish changes to a fleet of followers and measure their propagation.

    :param nodes: number of nodes, in three availability zones.
    :param workspaces: number of workspaces in the configuration.
    :param changes: number of changes, each to one workspace.
    """
    block = make_address_block()
    address = f"{block.take_host()}:{STANDIN_PORT}"
    settings = KeyValueSettings(address=address)
    site = await start_site(make_key_value_application(settings), address)
    key_value = make_key_value_client([address], KEY_VALUE_TIMEOUT_S, make_ledger())
    await key_value.start()
    fleet = make_follower_fleet(address, KEY_VALUE_TIMEOUT_S)
    try:
        await _publish(key_value, 0, workspaces)
        await fleet.start(nodes)
        await _wait_for_version(fleet, 1, START_TIMEOUT_S)
        return await _measure_changes(fleet, key_value, address, workspaces, changes)
    finally:
        await fleet.close()
        await key_value.close()
        await site.cleanup()
        block.close()


async def _measure_changes(
    fleet: FollowerFleet,
    key_value: Store,
    address: str,
    workspaces: int,
    changes: int,
) -> DisseminationResult:
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    node_idle_rate, fleet_idle_call_rate = await _measure_idle(fleet, address)
    before_bytes, started_s = _count_bytes(fleet), time.monotonic()
    change_delays_s = [
        await _measure_change(fleet, key_value, base, workspaces)
        for base in range(1, changes + 1)
    ]
    await asyncio.sleep(1.0)
    elapsed_s = time.monotonic() - started_s
    count = len(fleet.nodes)
    change_traffic_bytes = (
        _count_bytes(fleet) - before_bytes
    ) / count - node_idle_rate * elapsed_s
    change_bytes = max(change_traffic_bytes, 0.0) / changes
    return DisseminationResult(
        nodes=count,
        workspaces=workspaces,
        changes=changes,
        median_s=statistics.median(statistics.median(each) for each in change_delays_s),
        last_s=statistics.median(max(each) for each in change_delays_s),
        worst_s=max(max(each) for each in change_delays_s),
        idle_bytes_per_s=node_idle_rate,
        idle_calls_per_s=fleet_idle_call_rate,
        change_bytes=change_bytes,
        rate_bytes_per_s=node_idle_rate
        + change_bytes * TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY,
    )


async def _measure_idle(fleet: FollowerFleet, address: str) -> tuple[float, float]:
    """Return the bytes per second of a node and the key-value calls per second of all.

    Both are measured while the configuration does not change.
    """
    before_bytes, before_calls = _count_bytes(fleet), await _count_calls(address)
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    traffic_bytes = _count_bytes(fleet) - before_bytes
    calls = await _count_calls(address) - before_calls
    return traffic_bytes / IDLE_MEASUREMENT_S / len(
        fleet.nodes
    ), calls / IDLE_MEASUREMENT_S


async def _measure_change(
    fleet: FollowerFleet, key_value: Store, base: int, workspaces: int
) -> list[float]:
    await _publish(key_value, base, workspaces)
    accepted_s = time.monotonic()
    await _wait_for_version(fleet, base + 1, PROPAGATION_TIMEOUT_S)
    # A node can adopt the version before the publisher has received the response of the
    # key-value service; its delay counts as zero.
    return [
        max(node.adoption_times_s[base + 1] - accepted_s, 0.0) for node in fleet.nodes
    ]


async def _publish(key_value: Store, base: int, workspaces: int) -> None:
    configuration = make_configuration(workspaces, weight=base + 1)
    result = await publish_configuration(
        key_value, base, configuration, "load", make_token()
    )
    if not isinstance(result, Publication):
        raise RuntimeError(f"configuration was not accepted: {result}")


async def _wait_for_version(
    fleet: FollowerFleet, version: int, timeout_s: float
) -> None:
    behind = await fleet.wait_for_version(version, timeout_s)
    if behind:
        raise RuntimeError(
            f"version {version} was not adopted in time by {len(behind)} nodes"
        )


def _count_bytes(fleet: FollowerFleet) -> float:
    return sum(
        node.spending.sent_bytes + node.spending.received_bytes for node in fleet.nodes
    )


async def _count_calls(address: str) -> int:
    """Return the number of calls that the key-value stand-in counted."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/standin/calls") as reply,
    ):
        report = await reply.json()
    return sum(report["by_path"].values())


def format_dissemination(results: list[DisseminationResult]) -> str:
    """Return a Markdown table of results.

    :param results: results, one for each number of nodes.
    """
    lines = [
        "| nodes | workspaces | half have it (ms) | last has it (ms) | worst (ms) "
        "| idle B/s a node | key-value calls/s, all | bytes a change and node "
        "| B/s a node at 2,600 changes a day |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for result in results:
        lines.append(
            f"| {result.nodes} | {result.workspaces} | {result.median_s * 1000:.0f} "
            f"| {result.last_s * 1000:.0f} | {result.worst_s * 1000:.0f} "
            f"| {result.idle_bytes_per_s:.0f} | {result.idle_calls_per_s:.1f} "
            f"| {result.change_bytes:.0f} | {result.rate_bytes_per_s:.0f} |"
        )
    return "\n".join(lines)
