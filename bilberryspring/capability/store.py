"""Interface to a transactional key-value store for small values.

A store keeps keys with revisions, applies transactions of compares and operations, and
notifies watchers of changes. Adapters in ``bilberryspring.platform`` implement
:class:`Store`.
"""

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bilberryspring.capability.store_history import StoreHistory
from bilberryspring.identifiers import StoreHistoryId
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.request.errors import Failure

__all__ = [
    "Store",
    "KeyValue",
    "KeyRange",
    "Compare",
    "CompareTarget",
    "Put",
    "Get",
    "Delete",
    "Transaction",
    "Operation",
    "PutResult",
    "DeleteResult",
    "TransactionResult",
    "OperationResult",
    "WatchEvent",
    "WatchEventKind",
    "WatchReset",
    "key_absent",
    "key_present",
    "mod_revision_is",
    "value_is",
    "prefix_end",
]


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One stored key with its value and metadata.

    :param key: the key.
    :param value: its value.
    :param create_revision: store revision at which the key was created.
    :param mod_revision: store revision at which the key was last written.
    :param version: number of writes since the key was created.
    :param lease_id: id of the lease that the key is attached to; zero for none.
    """

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Result of a read.

    :param items: keys that were found, in order.
    :param revision: store revision of the read.
    :param more: whether the read was cut off at its limit and further keys exist.
    :param history_id: history that the revisions belong to; empty if it is not known.
    """

    items: tuple[KeyValue, ...]
    revision: int
    more: bool = False
    history_id: StoreHistoryId = StoreHistoryId("")


class CompareTarget(Enum):
    """Attribute of a key that a compare tests."""

    CREATE_REVISION = "create_revision"
    MOD_REVISION = "mod_revision"
    VALUE = "value"


@dataclass(frozen=True, slots=True)
class Compare:
    """One condition of a transaction.

    :param key: key that the condition refers to.
    :param target: attribute of the key that is tested.
    :param operand: value that the attribute is compared with.
    :param is_equal: whether the attribute must equal the operand; otherwise it must
        differ from it.
    """

    key: str
    target: CompareTarget
    operand: int | bytes
    is_equal: bool = True


@dataclass(frozen=True, slots=True)
class Put:
    """Operation that writes one key.

    :param key: the key.
    :param value: its new value.
    :param lease_id: id of the lease to attach the key to; zero for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Get:
    """Operation that reads one key or a range of keys.

    :param key: the key, or the first key of the range.
    :param is_prefix: whether to read every key that starts with ``key``.
    :param limit: maximum number of keys to return; zero for no limit.
    :param range_end: exclusive end of the range that starts at ``key``; empty to read
        no range.
    :param is_keys_only: whether to omit the values.
    """

    key: str
    is_prefix: bool = False
    limit: int = 0
    range_end: str = ""
    is_keys_only: bool = False


@dataclass(frozen=True, slots=True)
class Delete:
    """Operation that deletes one key or a range of keys.

    :param key: the key, or the first key of the range.
    :param range_end: exclusive end of the range that starts at ``key``; empty to delete
        only ``key``.
    """

    key: str
    range_end: str = ""


@dataclass(frozen=True, slots=True)
class Transaction:
    """Operations that are applied atomically, depending on the compares.

    :param compares: conditions to test.
    :param success: operations to apply if every condition holds.
    :param failure: operations to apply otherwise.
    """

    compares: tuple[Compare, ...]
    success: tuple["Operation", ...]
    failure: tuple["Operation", ...] = ()


Operation = Put | Get | Delete | Transaction


@dataclass(frozen=True, slots=True)
class PutResult:
    """Result of a write.

    :param revision: store revision that the write created.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class DeleteResult:
    """Result of a deletion.

    :param deleted: number of deleted keys.
    """

    deleted: int


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction.

    :param succeeded: whether every condition held, so that ``success`` was applied.
    :param responses: results of the applied operations, in order.
    :param revision: store revision after the transaction.
    :param history_id: history that the revisions belong to; empty if it is not known.
    """

    succeeded: bool
    responses: tuple["OperationResult", ...]
    revision: int
    history_id: StoreHistoryId = StoreHistoryId("")


OperationResult = PutResult | DeleteResult | KeyRange | TransactionResult


class WatchEventKind(Enum):
    """Kind of change of a watched key."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change of a watched key.

    :param kind: kind of the change.
    :param item: the key after the change; a deleted key has an empty value.
    """

    kind: WatchEventKind
    item: KeyValue


@dataclass(frozen=True, slots=True)
class WatchReset:
    """Notice that a watch missed changes, so the watcher must read the keys again.

    :param revision: oldest revision whose changes the watch still reports; the store
        has discarded older changes or was restored from a copy.
    """

    revision: int


def key_absent(key: str) -> Compare:
    """Return the condition that a key does not exist.

    :param key: the key.

    >>> key_absent("/a").operand
    0
    """
    return Compare(key, CompareTarget.CREATE_REVISION, 0)


def key_present(key: str) -> Compare:
    """Return the condition that a key exists.

    :param key: the key.
    """
    return Compare(key, CompareTarget.CREATE_REVISION, 0, is_equal=False)


def mod_revision_is(key: str, revision: int) -> Compare:
    """Return the condition that a key was last written at a revision.

    :param key: the key.
    :param revision: store revision of the write.
    """
    return Compare(key, CompareTarget.MOD_REVISION, revision)


def value_is(key: str, value: bytes) -> Compare:
    """Return the condition that a key has a value.

    :param key: the key.
    :param value: the expected value.
    """
    return Compare(key, CompareTarget.VALUE, value)


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive end of the range of keys that start with a prefix.

    :param prefix: common prefix of the keys; empty for all keys.
    :returns: the first key after all keys with the prefix.

    >>> prefix_end("/a/")
    b'/a0'
    """
    end = prefix.encode().rstrip(b"\xff")
    if not end:
        return b"\x00"
    return end[:-1] + bytes([end[-1] + 1])


class Store(Protocol):
    """Client of a key-value store.

    Each call returns its result or a failure of the kind ``PLATFORM_UNAVAILABLE``. The
    outcome of the failure states whether a write may have taken effect. Each call takes
    the ``mechanism`` that its traffic is accounted to.

    An answer of a former history of the store is a failure, too.

    :ivar history: the history of the store that this client is in contact with.
    """

    history: StoreHistory

    async def start(self) -> None:
        """Open the client."""

    async def close(self) -> None:
        """Close the client; pending calls fail."""

    async def get(
        self, key: str, *, mechanism: ControlMechanism
    ) -> KeyValue | None | Failure:
        """Read one key.

        :param key: the key.
        :param mechanism: mechanism that the traffic is accounted to.
        :returns: the key, ``None`` if it does not exist, or a failure.
        """

    async def get_prefix(
        self, prefix: str, limit: int = 0, *, mechanism: ControlMechanism
    ) -> KeyRange | Failure:
        """Read every key that starts with a prefix, in order.

        :param prefix: common prefix of the keys.
        :param limit: maximum number of keys to return; zero for no limit.
        :param mechanism: mechanism that the traffic is accounted to.
        """

    async def transact(
        self,
        compares: Sequence[Compare],
        success: Sequence[Operation],
        failure: Sequence[Operation] = (),
        *,
        mechanism: ControlMechanism,
    ) -> TransactionResult | Failure:
        """Apply a transaction atomically.

        :param compares: conditions to test.
        :param success: operations to apply if every condition holds.
        :param failure: operations to apply otherwise.
        :param mechanism: mechanism that the traffic is accounted to.
        """

    async def put(
        self, key: str, value: bytes, lease_id: int = 0, *, mechanism: ControlMechanism
    ) -> int | Failure:
        """Write one key.

        :param key: the key.
        :param value: its new value.
        :param lease_id: id of the lease to attach the key to; zero for none.
        :param mechanism: mechanism that the traffic is accounted to.
        :returns: store revision that the write created, or a failure.
        """

    async def delete(self, key: str, *, mechanism: ControlMechanism) -> int | Failure:
        """Delete one key.

        :param key: the key.
        :param mechanism: mechanism that the traffic is accounted to.
        :returns: number of deleted keys, zero or one, or a failure.
        """

    def watch(
        self, prefix: str, start_revision: int, *, mechanism: ControlMechanism
    ) -> AsyncIterator[WatchEvent | WatchReset | Failure]:
        """Yield each change of the keys that start with a prefix, without end.

        :param prefix: common prefix of the keys.
        :param start_revision: store revision of the first change to yield; zero to
            start with the next change.
        :param mechanism: mechanism that the traffic is accounted to.
        """
