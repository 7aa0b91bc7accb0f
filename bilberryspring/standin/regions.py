"""Regions of a test fleet: their platform services, and partitions between them."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from bilberryspring.standin.fleet_node import REGION_LINK, Node
from bilberryspring.standin.fleet_process import FleetProcess
from bilberryspring.standin.process_group import ProcessGroup
from bilberryspring.standin.proxy_faults import ProxyMode

__all__ = [
    "PartitionMode",
    "RegionPlatform",
    "list_region_proxies",
    "partition_regions",
    "heal_partition",
]


@dataclass(eq=False)
class RegionPlatform:
    """Platform services as the instances of one region reach them.

    :param name: name of the region.
    :param instance_list: instance list stand-in, with addresses reachable from the
        region.
    :param key_value_address: address of the key-value service, or of the proxy to it.
    :param key_value_proxy: proxy to the key-value service; None in the region of the
        service.
    """

    name: str
    instance_list: FleetProcess
    key_value_address: str
    key_value_proxy: FleetProcess | None = None

    @property
    def instance_list_address(self) -> str:
        """Address of the region's instance list."""
        return self.instance_list.settings["address"]


class PartitionMode(Enum):
    """Kind of a partition; the value holds the proxy modes to set, in order.

    ``CUT`` resets every connection and refuses new ones. ``SILENT`` permanently stops
    the bytes of existing connections, and delays those of new ones until the partition
    is healed.
    """

    CUT = (ProxyMode.CUT,)
    SILENT = (ProxyMode.SILENT, ProxyMode.FREEZE)


def list_region_proxies(
    nodes: Iterable[Node], platforms: Iterable[RegionPlatform] = ()
) -> list[FleetProcess]:
    """Return the proxies on the links between regions.

    :param nodes: nodes whose links from other regions are included.
    :param platforms: regions whose link to the key-value service is included.
    """
    proxies = [node.proxies[REGION_LINK] for node in nodes]
    key_value_proxies = [region.key_value_proxy for region in platforms]
    return proxies + [proxy for proxy in key_value_proxies if proxy is not None]


async def partition_regions(
    group: ProcessGroup, proxies: list[FleetProcess], mode: PartitionMode
) -> None:
    """Partition the regions of a fleet from each other.

    :param group: processes of the fleet.
    :param proxies: proxies on the links, see :func:`list_region_proxies`.
    :param mode: kind of the partition.
    """
    for proxy_mode in mode.value:
        await _set_modes(group, proxies, proxy_mode)


async def heal_partition(group: ProcessGroup, proxies: list[FleetProcess]) -> None:
    """Heal a partition.

    :param group: processes of the fleet.
    :param proxies: proxies on the links, see :func:`list_region_proxies`.
    """
    await _set_modes(group, proxies, ProxyMode.PASS)


async def _set_modes(
    group: ProcessGroup, proxies: list[FleetProcess], mode: ProxyMode
) -> None:
    requests = [group.set_faults(proxy, mode=mode.value) for proxy in proxies]
    await asyncio.gather(*requests)
