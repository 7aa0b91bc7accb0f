"""Policies that rank the instances of a pool for one chat.

The default policy is weighted rendezvous hashing. The first candidate, the chat's home,
depends only on the chat key and the instances. Routers with slightly different instance
lists therefore agree on nearly every chat, and an instance that joins or leaves moves
only the chats that it gains or loses. After the home, candidates follow in pairs of the
rendezvous order, the less loaded of each pair first. The agents enforce the load bound,
so a policy determines only an order.

Load pattern: multi-turn chats with pauses while instances join and leave, and one hot
chat whose home is at its load bound.

.. seealso:: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates;
    Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads.
"""

import heapq
import itertools
import math
import random
from bisect import bisect_left
from collections.abc import Callable, Mapping, Sequence
from functools import lru_cache

import xxhash

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.identifiers import ChatKey, InstanceId, Region
from bilberryspring.policy.registry import Registry, make_registry

__all__ = [
    "PLACEMENT_POLICIES",
    "Loads",
    "PlacementPolicy",
    "rank_candidates",
    "rank_own_region_first",
    "rank_by_rendezvous",
]

Loads = Mapping[InstanceId, float]
PlacementPolicy = Callable[[ChatKey, Sequence[Instance], Loads], list[Instance]]

MAX_CANDIDATES = 16
RING_POINTS_PER_WEIGHT = 64
HASH_RANGE = 2**64

PLACEMENT_POLICIES: Registry[PlacementPolicy] = make_registry()


def rank_candidates(
    policy_name: str, chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank the instances that may run a request, the best one first.

    :param policy_name: name of a registered policy.
    :param chat_key: key of the chat.
    :param instances: available instances of the pool.
    :param loads: last known load of each instance, in the pool's load unit; an instance
        without an entry counts as idle.
    :returns: at most ``MAX_CANDIDATES`` instances.
    :raises KeyError: if no policy is registered under that name.
    """
    return PLACEMENT_POLICIES[policy_name](chat_key, instances, loads)[:MAX_CANDIDATES]


def rank_own_region_first(
    policy_name: str,
    chat_key: ChatKey,
    instances: Sequence[Instance],
    loads: Loads,
    region: Region,
) -> list[Instance]:
    """Rank the instances of the router's region before those of all other regions.

    A network partition between regions can last for minutes. During one, a chat whose
    callers reach this region keeps its home and its KV cache. The other regions receive
    the overflow.

    :param policy_name: name of a registered policy, which ranks each of the two groups.
    :param chat_key: key of the chat.
    :param instances: available instances of the pool.
    :param loads: last known load of each instance, in the pool's load unit; an instance
        without an entry counts as idle.
    :param region: region of the router.
    :returns: at most ``MAX_CANDIDATES`` instances of the region, and as many others.
    """
    local = [instance for instance in instances if instance.region == region]
    if len(local) == len(instances):
        return rank_candidates(policy_name, chat_key, instances, loads)
    remote = [instance for instance in instances if instance.region != region]
    ranked = rank_candidates(policy_name, chat_key, local, loads) if local else []
    return ranked + rank_candidates(policy_name, chat_key, remote, loads)


def rank_by_rendezvous(
    chat_key: ChatKey, instances: Sequence[Instance], limit: int = MAX_CANDIDATES
) -> list[Instance]:
    """Order instances by weighted rendezvous hashing.

    :param chat_key: key of the chat.
    :param instances: instances to rank, with their weights.
    :param limit: maximum number of instances to return.
    :returns: the instances with the lowest scores, in ascending order. Each instance
        ranks first for a share of the chats in proportion to its weight.
    """
    key = chat_key.encode()

    def score(instance: Instance) -> tuple[float, InstanceId]:
        seed = _hash_seed(instance.instance_id)
        uniform = (xxhash.xxh3_64_intdigest(key, seed) + 1) / (HASH_RANGE + 1)
        return -math.log(uniform) / instance.weight, instance.instance_id

    return heapq.nsmallest(limit, instances, key=score)


@lru_cache(maxsize=8192)
def _hash_seed(instance_id: InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(instance_id.encode())


@PLACEMENT_POLICIES.register("bounded_rendezvous")
def rank_bounded_rendezvous(
    chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank the home first, then pairs in rendezvous order, each by relative load."""
    home, *others = rank_by_rendezvous(chat_key, instances) or [None]
    if home is None:
        return []
    ranked = [home]
    for start in range(0, len(others), 2):
        pair = others[start : start + 2]
        ranked += sorted(pair, key=lambda instance: _relative_load(instance, loads))
    return ranked


def _relative_load(instance: Instance, loads: Loads) -> float:
    return loads.get(instance.instance_id, 0.0) / instance.weight


@PLACEMENT_POLICIES.register("rendezvous")
def rank_rendezvous(
    chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank in rendezvous order, regardless of the loads."""
    return rank_by_rendezvous(chat_key, instances)


@PLACEMENT_POLICIES.register("random")
def rank_random(
    chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank in random order."""
    return random.sample(instances, min(len(instances), MAX_CANDIDATES))


_round_robin_counter = itertools.count()


@PLACEMENT_POLICIES.register("round_robin")
def rank_round_robin(
    chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank in the order of ids, starting one instance further at each call."""
    if not instances:
        return []
    ordered = sorted(instances, key=lambda instance: instance.instance_id)
    start = next(_round_robin_counter) % len(ordered)
    return ordered[start:] + ordered[:start]


@PLACEMENT_POLICIES.register("least_loaded")
def rank_least_loaded(
    chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank by last known load, the lowest first, and break ties at random."""
    shuffled = random.sample(instances, len(instances))
    return sorted(shuffled, key=lambda instance: _relative_load(instance, loads))


@PLACEMENT_POLICIES.register("consistent_hashing")
def rank_consistent_hashing(
    chat_key: ChatKey, instances: Sequence[Instance], loads: Loads
) -> list[Instance]:
    """Rank by the hash ring, starting at the first point after the chat's hash."""
    points, owners = _make_ring(tuple(sorted(instances, key=_get_instance_id)))
    start = bisect_left(points, xxhash.xxh3_64_intdigest(chat_key.encode()))
    ranked = dict.fromkeys(owners[start:] + owners[:start])
    return list(ranked)


def _get_instance_id(instance: Instance) -> InstanceId:
    return instance.instance_id


@lru_cache(maxsize=16)
def _make_ring(instances: tuple[Instance, ...]) -> tuple[list[int], list[Instance]]:
    ring = sorted(
        (xxhash.xxh3_64_intdigest(f"{instance.instance_id}#{point}".encode()), index)
        for index, instance in enumerate(instances)
        for point in range(max(1, round(RING_POINTS_PER_WEIGHT * instance.weight)))
    )
    points = [point for point, _ in ring]
    return points, [instances[index] for _, index in ring]
