"""Models of the key-value service and the circuit breaker for the claim protocol."""

from bilberryspring.capability.store import (
    Compare,
    CompareTarget,
    Delete,
    DeleteResult,
    Get,
    KeyRange,
    KeyValue,
    Operation,
    OperationResult,
    PutResult,
    Transaction,
    TransactionResult,
)
from bilberryspring.request.circuit_breaker import CircuitBreaker
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure


def fail(reason: str, outcome: Outcome) -> Failure:
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, outcome=outcome)


class ModelStore:
    """Key-value service with revisions, transactions and leases."""

    def __init__(self) -> None:
        self.items: dict[str, KeyValue] = {}
        self.revision = 0

    def drop_leases(self) -> None:
        """Drop every lease and the keys that are attached to one."""
        self.items = {k: v for k, v in self.items.items() if not v.lease_id}

    def delete_range(self, removal: Delete) -> None:
        """Delete the keys of a range."""
        self.items = {
            key: item
            for key, item in self.items.items()
            if not removal.key <= key < removal.range_end
        }

    def transact(self, transaction: Transaction) -> TransactionResult:
        succeeded = all(map(self._evaluate, transaction.compares))
        operations = transaction.success if succeeded else transaction.failure
        responses = tuple(self._execute(each) for each in operations)
        return TransactionResult(succeeded, responses, 0)

    def _evaluate(self, compare: Compare) -> bool:
        item = self.items.get(compare.key)
        if compare.target is CompareTarget.VALUE:
            return item is not None and item.value == compare.operand
        if compare.target is CompareTarget.MOD_REVISION:
            return (item.mod_revision if item else 0) == compare.operand
        return (item.create_revision if item else 0) == compare.operand

    def _execute(self, operation: Operation) -> OperationResult:
        if isinstance(operation, Transaction):
            return self.transact(operation)
        old = self.items.get(operation.key)
        if isinstance(operation, Get):
            return KeyRange((old,) if old else (), 0)
        self.revision += 1
        if isinstance(operation, Delete):
            self.items.pop(operation.key, None)
            return DeleteResult(int(old is not None))
        created = old.create_revision if old else self.revision
        item = KeyValue(
            operation.key,
            operation.value,
            created,
            self.revision,
            0,
            operation.lease_id,
        )
        self.items[operation.key] = item
        return PutResult(self.revision)


class ClosedBreaker(CircuitBreaker):
    """Circuit breaker that stays closed, so that more states are explored."""

    def __init__(self) -> None:
        super().__init__("key_value", probe=None)

    def report_failure(self) -> float:
        return 1.0
