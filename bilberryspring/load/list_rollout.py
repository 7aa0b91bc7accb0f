"""Measures the cost of following the instance list of the platform during a rollout.

The followers run in one process and use real connections. The list is as long as that
of a larger fleet: its other entries are instances of another region, which the
followers do not call. Run as ``python -m bilberryspring.load.list_rollout``.
"""

import asyncio
import statistics
import sys
import time
from dataclasses import dataclass, replace

import aiohttp
import uvloop

from bilberryspring.capability.instance_list import (
    Instance,
    Role,
)
from bilberryspring.connection.peers import make_peer_pool, make_peer_server
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName, Region
from bilberryspring.load.slope_cases import make_instance_list_document
from bilberryspring.load.tables import format_number, format_table
from bilberryspring.platform.instances import (
    make_instance_list_client,
)
from bilberryspring.process.accounting import ControlMechanism, make_ledger
from bilberryspring.process.list_follower import make_list_follower
from bilberryspring.process.logs import configure_logs
from bilberryspring.process.membership import make_members
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.standin.addresses import AddressBlock, make_address_block
from bilberryspring.standin.instances import (
    InstanceListSettings,
    make_instance_list_application,
)
from bilberryspring.standin.serving import start_site

__all__ = ["RolloutCost", "measure_rollout"]

ZONES = ("cankaya", "yenimahalle", "kecioren")
REGION = Region("ankara")
PORT = 7000
LIST_TIMEOUT_S = 5.0
SETTLE_TIME_S = 6.0
MEASUREMENT_S = 15.0
LIST_CHANGES_PER_S = 1.0
PROPAGATION_TIMEOUT_S = 10.0
ROLLOUT_CASES = ((160, 24), (320, 24), (640, 24), (1_280, 12), (1_280, 24), (1_280, 48))


@dataclass(frozen=True, slots=True)
class RolloutCost:
    """Cost of a rollout that changes one entry of the list per second.

    :param entries: number of instances in the list.
    :param nodes: number of running followers.
    :param list_bytes: size of the whole list in the response of the platform.
    :param idle_bytes_per_s: list traffic of a node while the list does not change,
        without whole lists.
    :param shared_bytes_per_s: list traffic of a node during the rollout, without whole
        lists.
    :param wholes_per_s: whole lists that all nodes together fetched per second during
        the rollout.
    :param median_s: time in seconds from a change until half of the nodes have it,
        median over the changes.
    :param last_s: time in seconds until all nodes have a change, median over the
        changes.
    :param worst_s: maximum over the changes of the time until all nodes have it.
    """

    entries: int
    nodes: int
    list_bytes: int
    idle_bytes_per_s: float
    shared_bytes_per_s: float
    wholes_per_s: float
    median_s: float
    last_s: float
    worst_s: float


class ListFollowerNode:
    """Process reduced to the parts that follow the instance list.

    :param instance: entry of the process in the list.
    :param list_address: address of the instance list stand-in.
    """

    def __init__(self, instance: Instance, list_address: str) -> None:
        self.ledger = make_ledger()
        settings = ProcessSettings(
            instance_id=instance.instance_id,
            availability_zone=instance.availability_zone,
            region=instance.region,
            fleet_secret="secret-of-the-measurement",
            key_value_addresses=["127.0.0.1:1"],
            instance_list_address=list_address,
        )
        self.members = make_members(instance.instance_id)
        self.peers = make_peer_pool(settings, self)
        self.server = make_peer_server(settings, instance.address, self)
        self.list_follower = make_list_follower(
            settings,
            make_instance_list_client(list_address, LIST_TIMEOUT_S, self.ledger),
            self.members,
            self.peers,
            self.ledger,
        )

    async def start(self) -> None:
        """Start the server and follow the instance list."""
        await self.server.start()
        await self.list_follower.start()

    async def close(self) -> None:
        """Stop following the list and close all connections."""
        await self.list_follower.close()
        await self.peers.close()
        await self.server.close()

    @property
    def list_traffic_bytes(self) -> int:
        """Bytes of list traffic since the start, in both directions."""
        spending = self.ledger.by_mechanism[ControlMechanism.INSTANCE_LIST]
        return spending.sent_bytes + spending.received_bytes


class _ListPlatform:
    """Client of the instance list stand-in that publishes its entries.

    :param address: address of the stand-in.
    :param session: HTTP client session.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f"http://{address}"
        self._session = session
        self.entries: list[dict[str, object]] = []

    async def publish_list(self) -> None:
        body = {"instances": self.entries}
        url = f"{self._url}/standin/instances"
        async with self._session.put(url, json=body) as reply:
            reply.raise_for_status()

    async def change_entry(self, number: int) -> int:
        """Change one entry and return the revision that contains the change."""
        index = number % len(self.entries)
        entry = self.entries[index]
        self.entries[index] = entry | {"weight": 1.0 + number}
        await self.publish_list()
        return (await self.fetch_calls())["revision"]

    async def fetch_calls(self) -> dict[str, int]:
        async with self._session.get(f"{self._url}/standin/calls") as reply:
            return await reply.json()

    async def fetch_list_bytes(self) -> int:
        async with self._session.get(f"{self._url}/v1/instances") as reply:
            return len(await reply.read())


def _make_instances(count: int, block: AddressBlock) -> list[Instance]:
    return [
        Instance(
            InstanceId(f"agent-{number:05d}"),
            Role.AGENT,
            PoolName("model-0"),
            AvailabilityZone(ZONES[number % len(ZONES)]),
            REGION,
            f"{block.take_host()}:{PORT}",
        )
        for number in range(count)
    ]


def _make_list_entry(instance: Instance) -> dict[str, object]:
    return {
        "instance_id": instance.instance_id,
        "role": instance.role.value,
        "pool": instance.pool,
        "availability_zone": instance.availability_zone,
        "region": instance.region,
        "address": instance.address,
        "state": instance.state.value,
        "weight": instance.weight,
    }


async def measure_rollout(entries: int, count: int) -> RolloutCost:
    """Change the list once per second and measure the traffic of its followers.

    :param entries: number of instances in the list.
    :param count: number of followers to run.
    """
    block = make_address_block()
    address = f"{block.take_host()}:{PORT}"
    settings = InstanceListSettings(address=address)
    site = await start_site(make_instance_list_application(settings), address)
    instances = _make_instances(count, block)
    nodes = [ListFollowerNode(instance, address) for instance in instances]
    try:
        async with aiohttp.ClientSession() as session:
            platform = _ListPlatform(address, session)
            others = make_instance_list_document(entries)["instances"][count:]
            platform.entries = [*map(_make_list_entry, instances), *others]
            await platform.publish_list()
            await asyncio.gather(*(node.start() for node in nodes))
            await asyncio.sleep(SETTLE_TIME_S)
            cost = await _measure_idle_and_rollout(platform, nodes)
    finally:
        await asyncio.gather(*(node.close() for node in nodes))
        await site.cleanup()
        block.close()
    return replace(cost, entries=entries)


async def _measure_idle_and_rollout(
    platform: _ListPlatform, nodes: list[ListFollowerNode]
) -> RolloutCost:
    list_bytes = await platform.fetch_list_bytes()
    idle_bytes, _, idle_s = await _measure_traffic(platform, nodes, list_bytes, None)
    change_delays_s: list[list[float]] = []
    shared_bytes, whole_lists, rollout_s = await _measure_traffic(
        platform, nodes, list_bytes, change_delays_s
    )
    return RolloutCost(
        entries=0,
        nodes=len(nodes),
        list_bytes=list_bytes,
        idle_bytes_per_s=idle_bytes / idle_s / len(nodes),
        shared_bytes_per_s=shared_bytes / rollout_s / len(nodes),
        wholes_per_s=whole_lists / rollout_s,
        median_s=statistics.median(statistics.median(each) for each in change_delays_s),
        last_s=statistics.median(max(each) for each in change_delays_s),
        worst_s=max(max(each) for each in change_delays_s),
    )


async def _measure_traffic(
    platform: _ListPlatform,
    nodes: list[ListFollowerNode],
    list_bytes: int,
    change_delays_s: list[list[float]] | None,
) -> tuple[float, int, float]:
    """Measure the list traffic of all nodes.

    :param platform: client of the stand-in.
    :param nodes: followers to measure.
    :param list_bytes: size of a whole list.
    :param change_delays_s: receives, for each change, the delays of all nodes; ``None``
        to leave the list unchanged.
    :returns: bytes without whole lists, number of whole lists, and elapsed seconds.
    """
    before_bytes = sum(node.list_traffic_bytes for node in nodes)
    before = await platform.fetch_calls()
    started_s = time.monotonic()
    revision_waits = []
    change_number = 0
    while time.monotonic() < started_s + MEASUREMENT_S:
        if change_delays_s is not None:
            change_number += 1
            revision = await platform.change_entry(change_number)
            revision_waits.append(
                asyncio.create_task(_wait_for_revision(nodes, revision))
            )
        await asyncio.sleep(1 / LIST_CHANGES_PER_S)
    elapsed_s = time.monotonic() - started_s
    fetches = (await platform.fetch_calls())["whole_replies"] - before["whole_replies"]
    traffic_bytes = sum(node.list_traffic_bytes for node in nodes) - before_bytes
    for each in await asyncio.gather(*revision_waits):
        change_delays_s.append(each)
    return traffic_bytes - fetches * list_bytes, fetches, elapsed_s


async def _wait_for_revision(
    nodes: list[ListFollowerNode], revision: int
) -> list[float]:
    """Wait for a revision and return the delay in seconds of each node."""
    started_s = time.monotonic()
    delays_s: dict[int, float] = {}
    while len(delays_s) < len(nodes):
        elapsed_s = time.monotonic() - started_s
        if elapsed_s > PROPAGATION_TIMEOUT_S:
            raise RuntimeError(f"list revision {revision} did not reach all nodes")
        for index, node in enumerate(nodes):
            if node.members.revision >= revision:
                delays_s.setdefault(index, elapsed_s)
        await asyncio.sleep(0.01)
    return list(delays_s.values())


def _format_costs(costs: list[RolloutCost]) -> str:
    header = [
        "entries",
        "nodes",
        "whole list, bytes",
        "idle B/s a node",
        "shared B/s a node",
        "whole lists/s, all nodes",
        "half have it (ms)",
        "last has it (ms)",
        "worst (ms)",
    ]
    rows = [
        [
            f"{cost.entries:,}",
            str(cost.nodes),
            f"{cost.list_bytes:,}",
            format_number(cost.idle_bytes_per_s),
            format_number(cost.shared_bytes_per_s),
            f"{cost.wholes_per_s:.2f}",
            f"{cost.median_s * 1000:.0f}",
            f"{cost.last_s * 1000:.0f}",
            f"{cost.worst_s * 1000:.0f}",
        ]
        for cost in costs
    ]
    return format_table(header, rows)


def main() -> int:
    """Measure all cases and print a table."""
    configure_logs("ERROR", sys.stderr, instance="list-rollout")
    costs = [uvloop.run(measure_rollout(*case)) for case in ROLLOUT_CASES]
    print(_format_costs(costs))
    return 0


if __name__ == "__main__":
    sys.exit(main())
