"""The instance list that a process holds, and its changes by revision."""

from dataclasses import dataclass

import xxhash

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
)
from bilberryspring.connection.instance_list_messages import (
    MAX_CHANGES,
    InstanceListState,
)
from bilberryspring.identifiers import InstanceId

__all__ = ["Changes", "ListHistory", "digest_instances"]

DIGEST_MODULUS = 2**64
MAX_REMOVALS = 4_096


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes that lead from a base revision, or any later one, to the held one.

    :param base: the base revision; zero if there are no changes.
    :param changed: added or changed entries.
    :param removed: instances that are no longer listed.
    """

    base: int
    changed: tuple[Instance, ...] = ()
    removed: tuple[InstanceId, ...] = ()


def digest_instances(instances: dict[InstanceId, Instance]) -> int:
    """Return a digest of all entries that does not depend on their order.

    :param instances: entries by instance.

    >>> digest_instances({})
    0
    """
    return sum(map(_digest_instance, instances.values())) % DIGEST_MODULUS


def _digest_instance(instance: Instance) -> int:
    fields = (
        instance.instance_id,
        instance.role.value,
        instance.pool,
        instance.availability_zone,
        instance.region,
        instance.address,
        instance.state.value,
        repr(instance.weight),
    )
    return xxhash.xxh3_64_intdigest("\0".join(fields).encode())


class ListHistory:
    """The held list and, for each changed entry, the revision of its change.

    A process does not receive every revision. Each change is stored with the first
    revision in which it was seen here, which is not lower than the one that made it. So
    the changes selected for an older list may include more than needed, never less.
    """

    def __init__(self) -> None:
        self.listed = InstanceList(0, ())
        self.digest = 0
        self._by_id: dict[InstanceId, Instance] = {}
        self._change_revisions: dict[InstanceId, int] = {}
        self._removal_revisions: dict[InstanceId, int] = {}
        self._oldest_base = 0

    def replace(self, listed: InstanceList) -> bool:
        """Replace the held list with a complete list of the platform.

        :param listed: the complete list, of any revision.
        :returns: whether its revision or entries differ from the held ones.
        """
        by_id = {node.instance_id: node for node in listed.instances}
        previous, previous_by_id = self.listed, self._by_id
        digest = digest_instances(by_id)
        if listed.revision == previous.revision and digest == self.digest:
            self.listed = listed
            return False
        is_next = 0 < previous.revision < listed.revision
        self.listed, self.digest, self._by_id = listed, digest, by_id
        if not is_next:
            self._clear_changes(listed.revision)
            return True
        for name, node in by_id.items():
            if previous_by_id.get(name) != node:
                self._record_change(name)
        for name in previous_by_id.keys() - by_id.keys():
            self._record_removal(name)
        return True

    def apply(self, state: InstanceListState) -> bool:
        """Apply the changes of another process to the held list.

        :param state: list state of the other process, with changes.
        :returns: whether the list of the other process is held now. False if it is not
            newer, if its changes begin after the held revision, or if the resulting
            entries do not match its digest.
        """
        revision = self.listed.revision
        if not state.base_revision <= revision < state.revision or not revision:
            return False
        by_id = dict(self._by_id)
        digest = self.digest
        for node in state.changed:
            digest += _digest_instance(node) - _digest_entry(by_id, node.instance_id)
            by_id[node.instance_id] = node
        for name in state.removed:
            digest -= _digest_entry(by_id, name)
            by_id.pop(name, None)
        if digest % DIGEST_MODULUS != state.digest:
            return False
        self.digest = state.digest
        self._by_id = by_id
        entries = tuple(by_id.values())
        self.listed = InstanceList(state.revision, entries, state.entity_tag)
        # Includes entries equal to those held: a revision in between may differ.
        for node in state.changed:
            self._record_change(node.instance_id)
        for name in state.removed:
            self._record_removal(name)
        return True

    def select_changes(self, base: int) -> Changes | None:
        """Return the changes since a revision.

        :param base: revision that the receiver holds.
        :returns: the changes, or ``None`` if they are not known or too many for a
            message.
        """
        if not self._oldest_base <= base <= self.listed.revision or not base:
            return None
        changed = [
            self._by_id[name]
            for name, changed_at in self._change_revisions.items()
            if changed_at > base
        ]
        removed = [
            name
            for name, changed_at in self._removal_revisions.items()
            if changed_at > base
        ]
        if len(changed) + len(removed) > MAX_CHANGES:
            return None
        return Changes(base, tuple(changed), tuple(removed))

    def _record_change(self, name: InstanceId) -> None:
        self._removal_revisions.pop(name, None)
        self._change_revisions[name] = self.listed.revision

    def _record_removal(self, name: InstanceId) -> None:
        self._change_revisions.pop(name, None)
        self._removal_revisions.pop(name, None)
        self._removal_revisions[name] = self.listed.revision
        while len(self._removal_revisions) > MAX_REMOVALS:
            oldest = next(iter(self._removal_revisions))
            self._oldest_base = max(
                self._oldest_base, self._removal_revisions.pop(oldest)
            )

    def _clear_changes(self, revision: int) -> None:
        self._change_revisions.clear()
        self._removal_revisions.clear()
        self._oldest_base = revision


def _digest_entry(by_id: dict[InstanceId, Instance], name: InstanceId) -> int:
    node = by_id.get(name)
    return 0 if node is None else _digest_instance(node)
