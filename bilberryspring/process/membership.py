"""Membership and failure detection: the instances that a process considers usable.

The base is the platform's list, which lags. Observations of the processes (refused
connections, timeouts, leaving notices) override it for a bounded time. A single
observation does not move chats: suspicion needs two observers, or two observations of
this process that are apart in time. An instance that is suspected repeatedly is held
back for longer each time. `process/list_follower.py` provides the list.
"""

import time
from collections.abc import Callable

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
    Role,
)
from bilberryspring.identifiers import InstanceId, PoolName
from bilberryspring.process.logs import log_event
from bilberryspring.process.suspicion import Suspicion

__all__ = ["Members", "make_members"]

LEAVING_NOTICE_S = 30.0
# If a larger share of a pool's agents in the observer's region is suspected, the fault
# is probably in the observer's own network.
MAX_SUSPECT_SHARE = 0.5


class Members:
    """This process's view of the instances of the fleet.

    :param instance_id: this process's own instance.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._own_id = instance_id
        self._clock = clock
        self._listed = InstanceList(0, ())
        self._by_id: dict[InstanceId, Instance] = {}
        self._by_pool: dict[PoolName, tuple[Instance, ...]] = {}
        self._suspicions: dict[InstanceId, Suspicion] = {}
        self._leaving_since_s: dict[InstanceId, float] = {}
        self._usable: dict[PoolName, list[Instance]] = {}
        self._usable_until_s = 0.0

    @property
    def revision(self) -> int:
        """Revision of the list in use; zero before the first one."""
        return self._listed.revision

    def find(self, instance_id: InstanceId) -> Instance | None:
        """Return a listed instance, whether usable or not; ``None`` if not listed.

        :param instance_id: id of the instance.
        """
        return self._by_id.get(instance_id)

    def instances(self, pool: PoolName) -> list[Instance]:
        """Return the usable instances of a pool.

        :param pool: name of a backend server pool.
        :returns: agents that are neither leaving nor suspected. If more than half of
            the pool's agents in the own region are suspected, suspicion is ignored
            there; other regions may be unreachable as a whole. If all agents say that
            they are leaving, the agents that the platform lists as live are considered
            instead.
        """
        now_s = self._clock()
        if now_s >= self._usable_until_s:
            self._reset_usable(now_s)
        usable = self._usable.get(pool)
        if usable is None:
            usable = self._usable[pool] = self._select_usable(pool)
        return usable

    def list_held_back(self, pool: PoolName) -> list[Instance]:
        """Return agents of a pool that respond again but are held back for flapping.

        For a while they get no chats assigned, only overflow that no other instance has
        capacity for. The pool's mean load includes them, since they are alive.

        :param pool: name of a backend server pool.
        """
        usable = self.instances(pool)
        return [
            node
            for node in self.list_suspected(pool)
            if not self._suspicions[node.instance_id].observed_s and node not in usable
        ]

    def list_suspected(self, pool: PoolName) -> list[Instance]:
        """Return the suspected agents of a pool that are not leaving.

        :param pool: name of a backend server pool.
        """
        # Runs for every request, so it scans the few suspicions, not the whole pool.
        suspected = [
            self._by_id[instance_id]
            for instance_id in self._suspicions
            if self.is_suspected(instance_id)
        ]
        return [
            node
            for node in suspected
            if node.role is Role.AGENT
            and node.pool == pool
            and not self.is_leaving(node.instance_id)
        ]

    def list_staying(self, pool: PoolName) -> list[Instance]:
        """Return the agents of a pool that are not leaving, including suspected ones.

        :param pool: name of a backend server pool.
        """
        return [
            node
            for node in self._by_pool.get(pool, ())
            if not self.is_leaving(node.instance_id)
        ]

    def list_routers(self) -> list[Instance]:
        """Return the listed routers."""
        return [node for node in self._listed.instances if node.role is Role.ROUTER]

    def all_nodes(self) -> list[Instance]:
        """Return every listed instance, including leaving ones."""
        return list(self._listed.instances)

    def list_own_suspects(self, limit: int) -> list[InstanceId]:
        """Return the instances whose failure this process itself observed recently.

        :param limit: maximum number of instances.
        :returns: ids, the latest observation first.
        """
        now_s = self._clock()
        observed = [
            (observed_s, instance_id)
            for instance_id, suspicion in self._suspicions.items()
            if (observed_s := suspicion.find_own_observation(now_s)) is not None
        ]
        return [
            instance_id for _, instance_id in sorted(observed, reverse=True)[:limit]
        ]

    def is_suspected(self, instance_id: InstanceId) -> bool:
        """Return whether an instance is suspected to have failed.

        :param instance_id: id of the instance.
        """
        suspicion = self._suspicions.get(instance_id)
        return suspicion is not None and suspicion.suspected_until_s > self._clock()

    def is_down(self, instance_id: InstanceId) -> bool:
        """Return whether a suspected instance refuses connections of this process.

        Such a process has ended, whereas one that times out may still be working.

        :param instance_id: id of the instance.
        """
        suspicion = self._suspicions.get(instance_id)
        return self.is_suspected(instance_id) and suspicion.refuses_connections

    def is_leaving(self, instance_id: InstanceId) -> bool:
        """Return whether an instance is leaving, by the list or by its own notice.

        :param instance_id: id of the instance.
        """
        listed = self._by_id.get(instance_id)
        if listed is not None and listed.state is InstanceState.LEAVING:
            return True
        noted_s = self._leaving_since_s.get(instance_id)
        return noted_s is not None and noted_s + LEAVING_NOTICE_S > self._clock()

    def report_refused(self, instance_id: InstanceId, observer: str = "") -> None:
        """Record that an instance refused a connection.

        :param instance_id: id of the instance.
        :param observer: instance that observed it; empty for this process.
        """
        self._record_observation(instance_id, observer or self._own_id, refuses=True)

    def report_silent(self, instance_id: InstanceId, observer: str = "") -> None:
        """Record that an instance did not respond to pings, a call or a connection.

        :param instance_id: id of the instance.
        :param observer: instance that observed it; empty for this process.
        """
        self._record_observation(instance_id, observer or self._own_id, refuses=False)

    def report_leaving(self, instance_id: InstanceId) -> None:
        """Record that an instance said that it is leaving.

        :param instance_id: id of the instance.
        """
        self._leaving_since_s[instance_id] = self._clock()
        self._usable_until_s = 0.0

    def report_serving(self, instance_id: InstanceId, seen_s: float) -> None:
        """Record that an instance itself said that it accepts work.

        :param instance_id: id of the instance.
        :param seen_s: monotonic time of its statement; one that is older than a
            leaving notice does not revoke the notice.
        """
        noted_s = self._leaving_since_s.get(instance_id)
        if noted_s is not None and seen_s > noted_s:
            del self._leaving_since_s[instance_id]
            self._usable_until_s = 0.0
        if noted_s is None or seen_s > noted_s:
            self.report_alive(instance_id, seen_s)

    def report_alive(
        self, instance_id: InstanceId, seen_s: float = float("inf")
    ) -> None:
        """Record a successful exchange with an instance.

        It ends a first suspicion at once; that of a flapping instance runs its full
        duration.

        :param instance_id: id of the instance.
        :param seen_s: monotonic time of the exchange; only earlier observations are
            cleared. Infinity, the default, clears all.
        """
        suspicion = self._suspicions.get(instance_id)
        if suspicion is not None and suspicion.clear(seen_s, self._clock()):
            self._usable_until_s = 0.0

    def adopt(self, listed: InstanceList) -> None:
        """Replace the base list, and drop overrides for instances not in it.

        :param listed: list of the platform.
        """
        self._listed = listed
        self._by_id = {node.instance_id: node for node in listed.instances}
        pools: dict[PoolName, list[Instance]] = {}
        for node in listed.instances:
            if node.role is Role.AGENT:
                pools.setdefault(node.pool, []).append(node)
        self._by_pool = {pool: tuple(nodes) for pool, nodes in pools.items()}
        for observed in (self._suspicions, self._leaving_since_s):
            for instance_id in observed.keys() - self._by_id.keys():
                del observed[instance_id]
        self._usable_until_s = 0.0

    def _record_observation(
        self, instance_id: InstanceId, observer: str, *, refuses: bool
    ) -> None:
        if instance_id not in self._by_id:
            return
        suspicion = self._suspicions.setdefault(instance_id, Suspicion(self._own_id))
        duration_s = suspicion.observe(observer, refuses, self._clock())
        if duration_s:
            self._usable_until_s = 0.0
            log_event("instance_suspected", suspect=instance_id, duration_s=duration_s)

    def _select_usable(self, pool: PoolName) -> list[Instance]:
        # Agents whose backend server is down also say that they accept no work. If
        # there are no others, they are used, since only they know when it is up again.
        staying = self.list_staying(pool) or [
            node
            for node in self._by_pool.get(pool, ())
            if node.state is InstanceState.LIVE
        ]
        own = self._by_id.get(self._own_id)
        local = [node for node in staying if own is None or node.region == own.region]
        remote = [
            node for node in staying if own is not None and node.region != own.region
        ]
        usable = self._select_trusted(local) + self._filter_unsuspected(remote)
        return usable or self._select_trusted(remote)

    def _select_trusted(self, nodes: list[Instance]) -> list[Instance]:
        """Return the nodes that are not suspected, or all nodes if most are."""
        trusted = self._filter_unsuspected(nodes)
        if len(trusted) < len(nodes) * (1 - MAX_SUSPECT_SHARE):
            return nodes
        return trusted

    def _filter_unsuspected(self, nodes: list[Instance]) -> list[Instance]:
        return [node for node in nodes if not self.is_suspected(node.instance_id)]

    def _reset_usable(self, now_s: float) -> None:
        self._usable.clear()
        expiries_s = [
            *(entry.suspected_until_s for entry in self._suspicions.values()),
            *(noted_s + LEAVING_NOTICE_S for noted_s in self._leaving_since_s.values()),
        ]
        self._usable_until_s = min(
            (expiry_s for expiry_s in expiries_s if expiry_s > now_s),
            default=float("inf"),
        )


def make_members(instance_id: InstanceId) -> Members:
    """Return members without any instance.

    :param instance_id: this process's own instance.
    """
    return Members(instance_id)
