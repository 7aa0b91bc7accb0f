"""Message with which two processes compare their instance lists, and its codec."""

import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName, Region
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "MAX_AGE_MS",
    "MAX_CHANGES",
    "InstanceListState",
    "encode_list_state",
    "decode_list_state",
]

MAX_MESSAGE_BYTES = 262_144
MAX_CHANGES = 1_024
MAX_AGE_MS = 2**32 - 1

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("instances.capnp")))


@dataclass(frozen=True, slots=True)
class InstanceListState:
    """State of the instance list of a process, with the changes that lead to it.

    :param revision: revision of the list at the platform; zero if the process has no
        list.
    :param digest: digest over all entries of the list.
    :param entity_tag: HTTP entity tag that the platform sent with the list.
    :param age_ms: milliseconds since the platform confirmed the list to any process, at
        most :data:`MAX_AGE_MS`.
    :param base_revision: oldest revision to which the changes can be applied; applied
        to it or to a later one, they give `revision`. Zero if the state has no changes.
    :param changed: entries that were added or changed.
    :param removed: ids of instances that are no longer listed.
    """

    revision: int
    digest: int
    entity_tag: str = ""
    age_ms: int = 0
    base_revision: int = 0
    changed: tuple[Instance, ...] = ()
    removed: tuple[InstanceId, ...] = ()


def encode_list_state(state: InstanceListState) -> bytes:
    """Return the packed Cap'n Proto encoding of a state.

    :param state: state with at most :data:`MAX_CHANGES` changes and removals; the
        receiver rejects more.
    :returns: encoded message.

    >>> state = InstanceListState(7, 99, '"7"', 40, 6, removed=(InstanceId("agent-1"),))
    >>> decode_list_state(encode_list_state(state)) == state
    True
    """
    root = _schema.ListState.new_message(
        revision=state.revision,
        digest=state.digest,
        entityTag=state.entity_tag,
        ageMs=state.age_ms,
        base=state.base_revision,
    )
    if state.changed:
        entries = root.init("changed", len(state.changed))
        for builder, instance in zip(entries, state.changed, strict=True):
            _write_instance(builder, instance)
    if state.removed:
        root.removed = list(state.removed)
    return root.to_bytes_packed()


def _write_instance(builder: Any, instance: Instance) -> None:
    builder.instanceId = instance.instance_id
    builder.isAgent = instance.role is Role.AGENT
    builder.isLeaving = instance.state is InstanceState.LEAVING
    builder.pool = instance.pool
    builder.availabilityZone = instance.availability_zone
    builder.region = instance.region
    builder.address = instance.address
    builder.weight = instance.weight


def decode_list_state(payload: bytes) -> InstanceListState | Failure:
    """Decode a state and check its entries.

    :param payload: packed Cap'n Proto bytes from a peer.
    :returns: the state, or a ``MALFORMED_REQUEST`` failure.
    """
    if len(payload) > MAX_MESSAGE_BYTES:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the list state is too large")
    try:
        root = _schema.ListState.from_bytes_packed(payload)
        if len(root.changed) + len(root.removed) > MAX_CHANGES:
            raise ValueError("the state has too many changes")
        return InstanceListState(
            root.revision,
            root.digest,
            root.entityTag,
            root.ageMs,
            root.base,
            tuple(_read_instance(entry) for entry in root.changed),
            tuple(InstanceId(name) for name in root.removed),
        )
    except MALFORMED_ERRORS as error:
        reason = f"malformed list state: {(str(error) or 'unreadable').splitlines()[0]}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def _read_instance(entry: Any) -> Instance:
    if not entry.instanceId:
        raise ValueError("an instance has no id")
    if not (entry.weight > 0 and math.isfinite(entry.weight)):
        raise ValueError("the weight of an instance must be positive and finite")
    return Instance(
        InstanceId(entry.instanceId),
        Role.AGENT if entry.isAgent else Role.ROUTER,
        PoolName(entry.pool),
        AvailabilityZone(entry.availabilityZone),
        Region(entry.region),
        entry.address,
        InstanceState.LEAVING if entry.isLeaving else InstanceState.LIVE,
        entry.weight,
    )
