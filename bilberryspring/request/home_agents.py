"""Home agents of chats, which store the location of a chat's KV cache."""

import itertools
import time
from typing import Protocol

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.identifiers import ChatKey, InstanceId, PoolName
from bilberryspring.policy.placement import rank_by_rendezvous

__all__ = ["CacheHomes"]

MAX_LEAVING_QUERIED = 2
# Lifetime of the cached list of leaving agents.
LEAVING_LIST_TTL_S = 1.0


class PoolMembers(Protocol):
    """Interface of the membership that this module needs."""

    def instances(self, pool: PoolName) -> list[Instance]:
        """Return the usable instances of a pool."""

    def all_nodes(self) -> list[Instance]:
        """Return every listed instance, including those that are leaving."""

    def is_leaving(self, instance_id: InstanceId) -> bool:
        """Return whether an instance is leaving."""


class CacheHomes:
    """Home agents of the chats of one pool, selected by rendezvous hashing.

    :param members: this process's view of the membership.
    :param pool: name of the pool.
    """

    def __init__(self, members: PoolMembers, pool: PoolName):
        self._members = members
        self._pool = pool
        self._leaving: list[Instance] = []
        self._leaving_expires_s = float("-inf")

    def rank_homes(self, chat_key: ChatKey) -> list[Instance]:
        """Return the home of a chat and the next agent in its ranking.

        The second agent was the home if the first one has joined only recently.

        :param chat_key: key of the chat.
        """
        return rank_by_rendezvous(chat_key, self._members.instances(self._pool), 2)

    def rank_leaving(self, chat_key: ChatKey, homes: list[Instance]) -> list[Instance]:
        """Return the leaving agents that were homes of a chat before its current one.

        A leaving agent answers lookups until its last request has ended.

        :param chat_key: key of the chat.
        :param homes: the current home, followed by lower-ranked agents; empty if the
            pool has no usable agent.
        """
        current_home = homes[:1]
        leaving = [node for node in self._list_leaving() if node not in current_home]
        if not leaving:
            return []
        # Only the leaving agents that rank above the current home were homes.
        ranked = rank_by_rendezvous(chat_key, [*current_home, *leaving])
        former_homes = itertools.takewhile(
            lambda node: node not in current_home, ranked
        )
        return list(itertools.islice(former_homes, MAX_LEAVING_QUERIED))

    def _list_leaving(self) -> list[Instance]:
        """Return the leaving agents of the pool from a cached list."""
        now_s = time.monotonic()
        if now_s >= self._leaving_expires_s:
            self._leaving = [
                node
                for node in self._members.all_nodes()
                if node.pool == self._pool
                and self._members.is_leaving(node.instance_id)
            ]
            self._leaving_expires_s = now_s + LEAVING_LIST_TTL_S
        return self._leaving
