"""Followers of the configuration that run in one process, over real connections.

A follower has the parts of a node that follow the configuration and none that handle
requests, so that many followers fit in one process.
"""

import asyncio
import time

from bilberryspring.capability.instance_list import (
    Instance,
    Role,
)
from bilberryspring.connection.peers import make_peer_pool, make_peer_server
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName, Region
from bilberryspring.platform.keyvalue import (
    make_key_value_client,
)
from bilberryspring.process.accounting import (
    ControlMechanism,
    TrafficTotals,
    make_ledger,
)
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.standin.addresses import make_address_block
from bilberryspring.version.dissemination import make_follower
from bilberryspring.version.holder import make_holder
from bilberryspring.version.index import ConfigurationIndex

__all__ = ["StaticInstanceList", "FollowerNode", "FollowerFleet", "make_follower_fleet"]

ZONES = ("cankaya", "yenimahalle", "kecioren")
FIRST_PORT = 7000
HOST_COUNT = 200
FLEET_SECRET = "secret-of-the-followers"


class StaticInstanceList:
    """Instance list that a test sets, in place of the polled one."""

    def __init__(self) -> None:
        self.nodes: list[Instance] = []

    def all_nodes(self) -> list[Instance]:
        """Return every instance."""
        return list(self.nodes)

    def find(self, instance_id: InstanceId) -> Instance | None:
        """Return the instance with an id; None if there is none.

        :param instance_id: id of the instance.
        """
        matching_instances = (
            node for node in self.nodes if node.instance_id == instance_id
        )
        return next(matching_instances, None)


class FollowerNode:
    """Node that follows the configuration and handles no requests.

    :param instance: entry in the instance list.
    :param key_value_address: address of the key-value service.
    :param members: instance list that the node uses.
    :param key_value_timeout_s: timeout of a call to the key-value service.
    :ivar versions: versions that the node adopted, in order of adoption.
    :ivar adopted_s: monotonic time at which each version was adopted.
    """

    def __init__(
        self,
        instance: Instance,
        key_value_address: str,
        members: StaticInstanceList,
        key_value_timeout_s: float,
    ) -> None:
        self.instance = instance
        self.members = members
        self.settings = ProcessSettings(
            instance_id=instance.instance_id,
            availability_zone=instance.availability_zone,
            region=instance.region,
            fleet_secret=FLEET_SECRET,
            key_value_addresses=[key_value_address],
            instance_list_address="127.0.0.1:1",
        )
        self.ledger = make_ledger()
        self.holder = make_holder()
        self.adopted_versions: list[int] = []
        self.adoption_times_s: dict[int, float] = {}
        self.holder.on_change(self._record_version)
        self.key_value = make_key_value_client(
            [key_value_address], key_value_timeout_s, self.ledger
        )
        self.peers = make_peer_pool(self.settings, self)
        self.server = make_peer_server(self.settings, instance.address, self)
        self.follower = make_follower(
            self.settings,
            self.holder,
            self.key_value,
            members,
            self.peers,
            self.ledger,
        )

    def _record_version(self, version: int, index: ConfigurationIndex) -> None:
        self.adopted_versions.append(version)
        self.adoption_times_s[version] = time.monotonic()

    async def start(self) -> None:
        """Start the peer server, the key-value client and the follower."""
        await self.server.start()
        await self.key_value.start()
        await self.follower.start()

    async def close(self) -> None:
        """Stop the follower and close every connection."""
        await self.follower.close()
        await self.peers.close()
        await self.server.close()
        await self.key_value.close()

    @property
    def spending(self) -> TrafficTotals:
        """Cost of the control traffic for the configuration."""
        return self.ledger.by_mechanism[ControlMechanism.CONFIGURATION]


class FollowerFleet:
    """Follower nodes that share a key-value service and, by default, an instance list.

    :param key_value_address: address of the key-value service.
    :param key_value_timeout_s: timeout of a call to the key-value service.
    """

    def __init__(self, key_value_address: str, key_value_timeout_s: float) -> None:
        self._key_value_address = key_value_address
        self._key_value_timeout_s = key_value_timeout_s
        self._address_block = make_address_block()
        self._hosts: list[str] = []
        self.instance_list = StaticInstanceList()
        self.nodes: list[FollowerNode] = []

    def add(self, members: StaticInstanceList | None = None) -> FollowerNode:
        """Add a node to the fleet and to the fleet's list, without starting it.

        :param instance_list: instance list that the node uses; None for the fleet's.
        :returns: the node.
        """
        number = len(self.nodes)
        instance = Instance(
            InstanceId(f"node-{number}"),
            Role.AGENT,
            PoolName("roll-writer"),
            AvailabilityZone(ZONES[number % len(ZONES)]),
            Region("ankara"),
            self._allocate_address(number),
        )
        node = FollowerNode(
            instance,
            self._key_value_address,
            members or self.instance_list,
            self._key_value_timeout_s,
        )
        self.nodes.append(node)
        self.instance_list.nodes.append(instance)
        return node

    def _allocate_address(self, number: int) -> str:
        port_offset, host_index = divmod(number, HOST_COUNT)
        if port_offset == 0:
            self._hosts.append(self._address_block.take_host())
        return f"{self._hosts[host_index]}:{FIRST_PORT + port_offset}"

    async def start(self, count: int) -> None:
        """Add nodes and start them.

        :param count: number of nodes.
        """
        nodes = [self.add() for _ in range(count)]
        await asyncio.gather(*(node.start() for node in nodes))

    async def wait_for_version(
        self, version: int, timeout_s: float
    ) -> list[InstanceId]:
        """Wait until every node has adopted a version or a later one.

        :param version: the version.
        :param timeout_s: time limit.
        :returns: ids of the nodes that have not adopted it in time.
        """
        waits = [node.holder.wait_for(version, timeout_s) for node in self.nodes]
        results = await asyncio.gather(*waits)
        return [
            node.instance.instance_id
            for node, has_adopted in zip(self.nodes, results, strict=True)
            if not has_adopted
        ]

    async def close(self) -> None:
        """Close every node."""
        await asyncio.gather(*(node.close() for node in self.nodes))
        self._address_block.close()


def make_follower_fleet(
    key_value_address: str, key_value_timeout_s: float = 1.0
) -> FollowerFleet:
    """Return a fleet without nodes.

    :param key_value_address: address of the key-value service.
    :param key_value_timeout_s: timeout of a call to the key-value service.
    """
    return FollowerFleet(key_value_address, key_value_timeout_s)
