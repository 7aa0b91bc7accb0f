"""Selection of the nodes that watch the key-value service, and of gossip partners.

Both are selected by hash over the instance list. Nodes therefore agree without
exchanging messages, and a change of the list affects only selections that involve the
changed instances.
"""

import xxhash

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
)
from bilberryspring.identifiers import AvailabilityZone, InstanceId

__all__ = ["is_watcher", "choose_partners", "sample_instances_by_zone"]

WATCHERS_PER_ZONE = 2
PARTNERS_IN_ZONE = 4
PARTNERS_IN_OTHER_ZONES = 3


def is_watcher(
    instance_id: InstanceId, zone: AvailabilityZone, nodes: list[Instance]
) -> bool:
    """Return whether an instance watches the key-value service for its zone.

    :param instance_id: id of the instance.
    :param zone: its availability zone.
    :param nodes: the instance's view of the instance list.
    :returns: whether the instance is among the first ``WATCHERS_PER_ZONE`` of its zone
        by hash, or no live instance of its zone is listed.

    >>> is_watcher(InstanceId("agent-1"), AvailabilityZone("cankaya"), [])
    True
    """
    local = [
        node.instance_id for node in _list_live(nodes) if node.availability_zone == zone
    ]
    ranked = sorted(local, key=lambda name: _score("watch", name), reverse=True)
    return not ranked or instance_id in ranked[:WATCHERS_PER_ZONE]


def choose_partners(
    instance_id: InstanceId, zone: AvailabilityZone, nodes: list[Instance]
) -> list[Instance]:
    """Return the nodes to which an instance announces a new version.

    The edges from every node to its partners form a sparse random graph. Its
    connections stay open, and a version reaches every node in a few hops.

    :param instance_id: id of the instance.
    :param zone: its availability zone.
    :param nodes: the instance's view of the instance list.
    :returns: at most ``PARTNERS_IN_ZONE`` nodes of its own zone and at most
        ``PARTNERS_IN_OTHER_ZONES`` nodes of the other zones.
    """
    others = sorted(
        (node for node in _list_live(nodes) if node.instance_id != instance_id),
        key=lambda node: _score(instance_id, node.instance_id),
        reverse=True,
    )
    local = [node for node in others if node.availability_zone == zone]
    remote = [node for node in others if node.availability_zone != zone]
    return local[:PARTNERS_IN_ZONE] + remote[:PARTNERS_IN_OTHER_ZONES]


def sample_instances_by_zone(
    nodes: list[Instance], per_zone: int, seed: str
) -> list[Instance]:
    """Sample nodes of every availability zone, pseudo-randomly by hash.

    :param nodes: instances to sample from.
    :param per_zone: maximum number of nodes per zone.
    :param seed: seed of the sample; the same seed gives the same sample.
    """
    chosen: list[Instance] = []
    counts: dict[AvailabilityZone, int] = {}
    for node in sorted(nodes, key=lambda node: _score(seed, node.instance_id)):
        count = counts.get(node.availability_zone, 0)
        if count < per_zone:
            chosen.append(node)
            counts[node.availability_zone] = count + 1
    return chosen


def _list_live(nodes: list[Instance]) -> list[Instance]:
    return [node for node in nodes if node.state is InstanceState.LIVE]


def _score(salt: str, instance_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt} {instance_id}".encode())
