"""In-memory key-value store with revisions, transactions and leases."""

import secrets
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from sortedcontainers import SortedDict

from bilberryspring.standin.key_value_checks import (
    FAILED_PRECONDITION,
    INVALID_ARGUMENT,
    NOT_FOUND,
    OUT_OF_RANGE,
    GatewayError,
    check_transaction,
    require_key,
)
from bilberryspring.standin.key_value_messages import (
    Compare,
    CompareResult,
    CompareTarget,
    DeleteRangeRequest,
    PutRequest,
    RangeRequest,
    RequestOperation,
    TransactionRequest,
)

__all__ = [
    "StoredValue",
    "Event",
    "Lease",
    "RangeResult",
    "TransactionResult",
    "StoreCopy",
    "KeyValueStore",
]

MAX_HISTORY_EVENTS = 20_000
FIRST_LEASE_ID = 7_587_000_000_000_000_001


@dataclass(frozen=True, slots=True)
class StoredValue:
    """Value of a key with its revisions.

    :param key: the key.
    :param value: the value; empty if the key is deleted.
    :param create_revision: revision that created the key.
    :param mod_revision: revision that last changed the key.
    :param version: number of writes since the key was created; zero if it is deleted.
    :param lease_id: id of the lease that the key is attached to; zero for none.
    """

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclass(frozen=True, slots=True)
class Event:
    """Change of one key.

    :param deleted: whether the key was deleted.
    :param current: new value; empty if the key was deleted.
    :param previous: value before the change; None if the key did not exist.
    """

    deleted: bool
    current: StoredValue
    previous: StoredValue | None


@dataclass(slots=True)
class Lease:
    """Lease, whose keys are deleted when it expires.

    :param lease_id: id of the lease.
    :param ttl_s: time to live after a grant or a keep-alive.
    :param expires_s: time of expiry, on the clock of the store.
    :param keys: keys attached to the lease.
    """

    lease_id: int
    ttl_s: float
    expires_s: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Result of a read.

    :param values: values found, up to the limit of the request.
    :param count: number of keys in the range, regardless of the limit.
    """

    values: list[StoredValue]
    count: int


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction.

    :param succeeded: whether every condition held.
    :param responses: result of each operation, in order.
    """

    succeeded: bool
    responses: list["RangeResult | StoredValue | None | list | TransactionResult"]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Snapshot of a store, from which it can be restored.

    :param revision: revision at the time of the copy.
    :param values: values of all keys.
    :param leases: leases at that time.
    :param next_lease_id: id that the next lease would have got.
    """

    revision: int
    values: tuple[StoredValue, ...]
    leases: tuple[Lease, ...]
    next_lease_id: int


class KeyValueStore:
    """Key-value store in the manner of etcd.

    :param clock: function that returns the time in seconds, for the expiry of leases.
    :ivar cluster_id: identity of the cluster; a restoration changes it.
    :ivar revision: revision of the last change.
    :ivar compacted_revision: latest revision whose events are no longer retained.
    :ivar leases: leases that have not expired, by id.
    :ivar listeners: functions called with the events of each change.
    """

    def __init__(self, clock: Callable[[], float]):
        self.cluster_id = _make_cluster_id()
        self.revision = 1
        self.compacted_revision = 0
        self.leases: dict[int, Lease] = {}
        self.listeners: list[Callable[[list[Event]], None]] = []
        self._clock = clock
        self._values: SortedDict = SortedDict()
        self._history: deque[Event] = deque()
        self._next_lease_id = FIRST_LEASE_ID

    def select_keys(self, key: bytes, range_end: bytes) -> Iterator[bytes]:
        """Return an iterator over the existing keys of a range, in order.

        :param key: first key.
        :param range_end: exclusive end of the range; empty for one key, a zero byte for
            no end.
        """
        if not range_end:
            return iter([key] if key in self._values else [])
        end_key = None if range_end == b"\0" else range_end
        return self._values.irange(key, end_key, inclusive=(True, False))

    def read(self, request: RangeRequest) -> RangeResult:
        """Return the values of a range at the current revision.

        :param request: the read.
        :raises GatewayError: if the key is empty or the requested revision was
            compacted.
        """
        require_key(request.key)
        if 0 < request.revision <= self.compacted_revision:
            raise GatewayError(
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            )
        keys = list(self.select_keys(request.key, request.range_end))
        selected_keys = keys[: request.limit] if request.limit > 0 else keys
        values = (
            [] if request.count_only else [self._values[key] for key in selected_keys]
        )
        return RangeResult(values, len(keys))

    def transact(self, request: TransactionRequest) -> TransactionResult:
        """Apply a transaction atomically.

        :param request: the transaction.
        :returns: the result.
        :raises GatewayError: if the transaction is invalid; it has no effect then.
        """
        check_transaction(request)
        decisions = self._evaluate_conditions(request)
        self._check_leases(decisions, request)
        events: list[Event] = []
        result = self._apply(request, decisions, self.revision + 1, events)
        self._commit(events)
        return result

    def grant_lease(self, lease_id: int, ttl_s: float) -> Lease:
        """Create a lease.

        :param lease_id: id of the lease; zero to choose one.
        :param ttl_s: time to live, in seconds.
        :raises GatewayError: if ``ttl_s`` is not positive or the id is in use.
        """
        if ttl_s <= 0:
            raise GatewayError(INVALID_ARGUMENT, "etcdserver: too small lease TTL")
        if lease_id in self.leases:
            raise GatewayError(FAILED_PRECONDITION, "etcdserver: lease already exists")
        if lease_id == 0:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
        lease = Lease(lease_id, ttl_s, self._clock() + ttl_s)
        self.leases[lease_id] = lease
        return lease

    def keep_lease_alive(self, lease_id: int) -> Lease | None:
        """Renew a lease.

        :param lease_id: id of the lease.
        :returns: the renewed lease; None if it does not exist.
        """
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_s = self._clock() + lease.ttl_s
        return lease

    def revoke_lease(self, lease_id: int) -> None:
        """Remove a lease and delete every key attached to it.

        :param lease_id: id of the lease.
        :raises GatewayError: if the lease does not exist.
        """
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            raise GatewayError(NOT_FOUND, "etcdserver: requested lease not found")
        events: list[Event] = []
        for key in sorted(lease.keys):
            self._delete_key(key, self.revision + 1, events)
        self._commit(events)

    def expire_leases(self) -> None:
        """Revoke the leases whose time to live has passed."""
        now_s = self._clock()
        expired = [each for each in self.leases.values() if each.expires_s <= now_s]
        for lease in expired:
            self.revoke_lease(lease.lease_id)

    def copy(self) -> StoreCopy:
        """Return a copy of the present state, as a snapshot holds it."""
        return StoreCopy(
            self.revision,
            tuple(self._values.values()),
            tuple(
                replace(lease, keys=set(lease.keys)) for lease in self.leases.values()
            ),
            self._next_lease_id,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy, as a new cluster.

        Later writes and leases are gone, and their revisions and ids are given out
        again. The history of events before the copy is not part of it.

        :param copy: state to return to.
        """
        self.cluster_id = _make_cluster_id()
        self.revision = self.compacted_revision = copy.revision
        self._values = SortedDict({stored.key: stored for stored in copy.values})
        self._history.clear()
        self.leases = {
            lease.lease_id: replace(
                lease, keys=set(lease.keys), expires_s=self._clock() + lease.ttl_s
            )
            for lease in copy.leases
        }
        self._next_lease_id = copy.next_lease_id

    def events_since(self, revision: int) -> list[Event]:
        """Return the retained events of a revision and of later ones.

        :param revision: the first revision.
        """
        return [
            event for event in self._history if event.current.mod_revision >= revision
        ]

    def _commit(self, events: list[Event]) -> None:
        if not events:
            return
        self.revision += 1
        self._history.extend(events)
        while len(self._history) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self._history.popleft().current.mod_revision
        for listener in list(self.listeners):
            listener(events)

    def _evaluate_conditions(self, request: TransactionRequest) -> list:
        # Nested conditions are evaluated before any operation takes effect.
        succeeded = all(self._is_satisfied(compare) for compare in request.compare)
        nested_decisions = [
            self._evaluate_conditions(operation.request_txn)
            for operation in _select_operations(request, succeeded)
            if operation.request_txn is not None
        ]
        return [succeeded, nested_decisions]

    def _check_leases(self, decisions: list, request: TransactionRequest) -> None:
        succeeded, nested_decisions = decisions
        remaining_decisions = iter(nested_decisions)
        for operation in _select_operations(request, succeeded):
            put = operation.request_put
            if put is not None and put.lease and put.lease not in self.leases:
                raise GatewayError(NOT_FOUND, "etcdserver: requested lease not found")
            if operation.request_txn is not None:
                self._check_leases(next(remaining_decisions), operation.request_txn)

    def _apply(
        self,
        request: TransactionRequest,
        decisions: list,
        revision: int,
        events: list[Event],
    ) -> TransactionResult:
        succeeded, nested_decisions = decisions
        remaining_decisions = iter(nested_decisions)
        responses = []
        for operation in _select_operations(request, succeeded):
            if operation.request_range is not None:
                responses.append(self.read(operation.request_range))
            elif operation.request_put is not None:
                responses.append(self._put(operation.request_put, revision, events))
            elif operation.request_delete_range is not None:
                removed_values = self._delete_range(
                    operation.request_delete_range, revision, events
                )
                responses.append(removed_values)
            else:
                inner_decisions = next(remaining_decisions)
                responses.append(
                    self._apply(
                        operation.request_txn, inner_decisions, revision, events
                    )
                )
        return TransactionResult(succeeded, responses)

    def _put(
        self, request: PutRequest, revision: int, events: list[Event]
    ) -> StoredValue | None:
        previous = self._values.get(request.key)
        self._detach_from_lease(previous)
        current = StoredValue(
            key=request.key,
            value=request.value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease_id=request.lease,
        )
        self._values[request.key] = current
        if request.lease:
            self.leases[request.lease].keys.add(request.key)
        events.append(Event(False, current, previous))
        return previous

    def _delete_range(
        self, request: DeleteRangeRequest, revision: int, events: list[Event]
    ) -> list[StoredValue]:
        keys = list(self.select_keys(request.key, request.range_end))
        return [self._delete_key(key, revision, events) for key in keys]

    def _delete_key(
        self, key: bytes, revision: int, events: list[Event]
    ) -> StoredValue:
        previous = self._values.pop(key)
        self._detach_from_lease(previous)
        tombstone = StoredValue(key, b"", 0, revision, 0, 0)
        events.append(Event(True, tombstone, previous))
        return previous

    def _detach_from_lease(self, stored: StoredValue | None) -> None:
        if stored is not None and stored.lease_id in self.leases:
            self.leases[stored.lease_id].keys.discard(stored.key)

    def _is_satisfied(self, compare: Compare) -> bool:
        if compare.range_end:
            keys = self.select_keys(compare.key, compare.range_end)
            return all(_is_comparison_true(self._values[key], compare) for key in keys)
        return _is_comparison_true(self._values.get(compare.key), compare)


def _make_cluster_id() -> str:
    return str(secrets.randbits(63) | 1)


def _select_operations(
    request: TransactionRequest, succeeded: bool
) -> list[RequestOperation]:
    return request.success if succeeded else request.failure


def _is_comparison_true(stored: StoredValue | None, compare: Compare) -> bool:
    if compare.target is CompareTarget.VALUE:
        if stored is None:
            return False
        actual, expected = stored.value, compare.value
    elif compare.target is CompareTarget.VERSION:
        actual, expected = stored.version if stored else 0, compare.version
    elif compare.target is CompareTarget.CREATE:
        actual = stored.create_revision if stored else 0
        expected = compare.create_revision
    elif compare.target is CompareTarget.MOD:
        actual = stored.mod_revision if stored else 0
        expected = compare.mod_revision
    else:
        actual, expected = stored.lease_id if stored else 0, compare.lease
    if compare.result is CompareResult.EQUAL:
        return actual == expected
    if compare.result is CompareResult.NOT_EQUAL:
        return actual != expected
    if compare.result is CompareResult.GREATER:
        return actual > expected
    return actual < expected
