"""Selection of the instances that count for the mean load of a pool."""

from bilberryspring.connection.load_messages import NameHash, hash_name
from bilberryspring.identifiers import InstanceId, PoolName
from bilberryspring.process.load_table import LoadTable, PoolSize
from bilberryspring.process.membership import Members

__all__ = ["compute_pool_size"]


def compute_pool_size(
    pool: PoolName,
    own_id: InstanceId,
    members: Members,
    table: LoadTable,
    now_s: float,
) -> PoolSize:
    """Return the weights of a pool's instances that are usable or have a fresh sample.

    An instance that refuses connections does not count, even with a fresh sample: it
    gets no work, and counting it would lower the mean and make the other agents refuse
    the work that it had. Samples of suspected instances in other regions are dropped,
    since regions lose each other as a whole; the mean is then that of the own region.

    :param pool: name of the pool.
    :param own_id: id of the calling agent.
    :param members: the fleet's instances.
    :param table: samples of the pool; those of suspected instances in other regions are
        removed from it.
    :param now_s: monotonic time.
    """
    own = members.find(own_id)
    fresh = set(table.list_fresh(now_s))
    trusted = {node.instance_id for node in members.instances(pool)}
    weights: dict[NameHash, float] = {}
    down: set[NameHash] = set()
    for node in members.list_staying(pool):
        name = hash_name(node.instance_id)
        if node.instance_id == own_id:
            continue
        if node.instance_id in trusted:
            weights[name] = node.weight
            continue
        is_remote = own is not None and node.region != own.region
        if is_remote:
            table.forget(name)
        if members.is_down(node.instance_id):
            down.add(name)
        elif name in fresh and not is_remote:
            weights[name] = node.weight
    return PoolSize(weights, own.weight if own is not None else 1.0, down)
