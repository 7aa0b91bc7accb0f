"""Cap'n Proto codec for the transactions that are forwarded to a batcher of claims.

A message is a transaction on one key: a condition on the key, the value to write if
the condition holds, and at most one operation otherwise. The claim protocol needs no
other transactions.
"""

from pathlib import Path
from typing import Any

import capnp

from bilberryspring.capability.store import (
    Compare,
    CompareTarget,
    Get,
    KeyRange,
    KeyValue,
    Operation,
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    key_absent,
    mod_revision_is,
    value_is,
)
from bilberryspring.identifiers import StoreHistoryId
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "decode_key_transaction",
    "decode_key_transaction_result",
    "encode_key_transaction",
    "encode_key_transaction_result",
]

MAX_MESSAGE_BYTES = 65_536
MAX_NESTING_DEPTH = 1

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("claims.capnp")))


def encode_key_transaction(transaction: Transaction, prefix: str) -> bytes:
    """Return the packed Cap'n Proto encoding of a transaction on one key.

    :param transaction: one compare, one put on success, and on failure nothing, one
        get, or one nested transaction of this form.
    :param prefix: key prefix known to both processes, which is not sent.
    :returns: encoded message.
    :raises ValueError: if the transaction has another form.

    >>> transaction = Transaction((key_absent("/c/k"),), (Put("/c/k", b"v", 7),))
    >>> decode_key_transaction(encode_key_transaction(transaction, "/c/"), "/c/") == (
    ...     transaction
    ... )
    True
    """
    message = _schema.KeyTransaction.new_message()
    message.key = transaction.compares[0].key.removeprefix(prefix)
    _write_transaction(message, transaction)
    return message.to_bytes_packed()


def _write_transaction(message: Any, transaction: Transaction) -> None:
    [compare] = transaction.compares
    [put] = transaction.success
    _write_expected(message.expected, compare)
    message.put = put.value
    message.leaseId = put.lease_id
    match transaction.failure:
        case ():
            message.otherwise.nothing = None
        case (Get(),):
            message.otherwise.read = None
        case (Transaction() as nested,):
            _write_transaction(message.otherwise.init("transaction"), nested)
        case _:
            raise ValueError("the failure branch has operations that are not supported")


def _write_expected(expected: Any, compare: Compare) -> None:
    if compare.target is CompareTarget.VALUE:
        expected.value = compare.operand
    elif compare.target is CompareTarget.MOD_REVISION:
        expected.revision = compare.operand
    else:
        expected.absent = None


def decode_key_transaction(payload: bytes, prefix: str) -> Transaction | Failure:
    """Decode a transaction on one key.

    :param payload: packed Cap'n Proto bytes from a peer.
    :param prefix: key prefix, which the message does not contain.
    :returns: the transaction, or a ``MALFORMED_REQUEST`` failure.
    """
    if len(payload) > MAX_MESSAGE_BYTES:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the transaction is too large")
    try:
        message = _schema.KeyTransaction.from_bytes_packed(payload)
        if not message.key:
            raise ValueError("the key is empty")
        return _read_transaction(message, prefix + message.key, MAX_NESTING_DEPTH)
    except MALFORMED_ERRORS as error:
        reason = f"malformed transaction: {str(error).splitlines()[0]}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def _read_transaction(message: Any, key: str, remaining_depth: int) -> Transaction:
    put = Put(key, bytes(message.put), message.leaseId)
    failure: tuple[Operation, ...] = ()
    otherwise = message.otherwise.which()
    if otherwise == "read":
        failure = (Get(key),)
    elif otherwise == "transaction":
        if remaining_depth == 0:
            raise ValueError("the transaction is nested too deeply")
        failure = (
            _read_transaction(message.otherwise.transaction, key, remaining_depth - 1),
        )
    return Transaction((_read_expected(message.expected, key),), (put,), failure)


def _read_expected(expected: Any, key: str) -> Compare:
    which = expected.which()
    if which == "value":
        return value_is(key, bytes(expected.value))
    if which == "revision":
        return mod_revision_is(key, expected.revision)
    return key_absent(key)


def encode_key_transaction_result(result: TransactionResult) -> bytes:
    """Return the packed Cap'n Proto encoding of a transaction's result.

    The result of a nested transaction is left out, since the claim protocol does not
    use it.

    :param result: result of a transaction that :func:`encode_key_transaction` accepts.
    :returns: encoded message.
    """
    message = _schema.KeyTransactionResult.new_message(
        succeeded=result.succeeded, historyId=result.history_id
    )
    for operation_result in result.responses:
        if isinstance(operation_result, PutResult):
            message.revision = operation_result.revision
        elif isinstance(operation_result, KeyRange) and operation_result.items:
            message.found = True
            message.revision = operation_result.items[0].mod_revision
            message.value = operation_result.items[0].value
    return message.to_bytes_packed()


def decode_key_transaction_result(payload: bytes) -> TransactionResult | Failure:
    """Decode the result of a transaction on one key.

    :param payload: packed Cap'n Proto bytes from a peer.
    :returns: the result, or a ``MALFORMED_REQUEST`` failure.
    """
    try:
        message = _schema.KeyTransactionResult.from_bytes_packed(payload)
        history_id = StoreHistoryId(message.historyId)
        if message.succeeded:
            responses = (PutResult(message.revision),)
            return TransactionResult(True, responses, message.revision, history_id)
        found = KeyValue("", bytes(message.value), 0, message.revision, 0)
        items = (found,) if message.found else ()
        return TransactionResult(False, (KeyRange(items, 0),), 0, history_id)
    except MALFORMED_ERRORS as error:
        reason = f"malformed result: {str(error).splitlines()[0]}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
