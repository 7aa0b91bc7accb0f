"""Selection of the processes that fetch the instance list, and of partners.

Both follow from hashes of the list's entries, so no leader is needed. In each time slot
a different process of each availability zone fetches the list, so a failed process
delays the fetch by at most one slot.
"""

import heapq
from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
)
from bilberryspring.identifiers import AvailabilityZone, InstanceId, Region

__all__ = ["ProcessLocation", "find_fetch_turn", "choose_list_partners"]

PARTNER_COUNT = 2
FETCHER_COUNT = 2
HASH_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class ProcessLocation:
    """Identity and location of a process; each region has its own list.

    :param instance_id: id of the process.
    :param zone: its availability zone.
    :param region: its region.
    """

    instance_id: InstanceId
    zone: AvailabilityZone
    region: Region


def find_fetch_turn(
    own: ProcessLocation, listed: InstanceList, slot: int
) -> int | None:
    """Return a process's turn to fetch the list for its availability zone.

    :param own: identity and location of the process.
    :param listed: list that the process holds.
    :param slot: number of the time slot.
    :returns: zero for the process that fetches, one for the backup that fetches if the
        list is not confirmed in time, ``None`` for the others. If the list has no live
        instance of the zone, every process of the zone has turn zero.

    >>> place = ProcessLocation(InstanceId("a"), AvailabilityZone("z"), Region("r"))
    >>> find_fetch_turn(place, InstanceList(0, ()), 7)
    0
    """
    names = [
        node.instance_id
        for node in _list_region(own, listed)
        if node.availability_zone == own.zone
    ]
    if not names:
        return 0
    chosen = heapq.nsmallest(
        FETCHER_COUNT, names, key=lambda n: _hash_position(str(slot), n)
    )
    return chosen.index(own.instance_id) if own.instance_id in chosen else None


def choose_list_partners(
    own: ProcessLocation, listed: InstanceList, silent: Collection[InstanceId] = ()
) -> list[Instance]:
    """Return the instances that a process notifies of changes.

    One is its successor on a hash ring of its availability zone, the other one that on
    a hash ring of the region. So a change reaches the whole region from any process,
    and all of a zone that is partitioned from the others. The combination of both rings
    keeps the number of hops low.

    :param own: identity and location of the process.
    :param listed: list that the process holds.
    :param silent: unresponsive instances, which are skipped.
    """
    others = [
        node
        for node in _list_region(own, listed)
        if node.instance_id not in silent and node.instance_id != own.instance_id
    ]
    zone_nodes = [node for node in others if node.availability_zone == own.zone]
    zone_successors = _find_successors("zone", own, zone_nodes, 1)
    region_successors = _find_successors("region", own, others, PARTNER_COUNT)
    return (
        zone_successors
        + [node for node in region_successors if node not in zone_successors]
    )[:PARTNER_COUNT]


def _find_successors(
    salt: str, own: ProcessLocation, nodes: list[Instance], count: int
) -> list[Instance]:
    """Return the successors of a process on the hash ring given by a salt."""
    start = _hash_position(salt, own.instance_id)
    return heapq.nsmallest(
        count,
        nodes,
        key=lambda node: (_hash_position(salt, node.instance_id) - start) % HASH_RANGE,
    )


def _list_region(own: ProcessLocation, listed: InstanceList) -> list[Instance]:
    return [
        node
        for node in listed.instances
        if node.region == own.region and node.state is InstanceState.LIVE
    ]


def _hash_position(salt: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt} {name}".encode())
