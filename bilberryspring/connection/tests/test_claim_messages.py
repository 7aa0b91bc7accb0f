"""Encoding of claim transactions, and rejection of malformed messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.capability.store import (
    Delete,
    Get,
    KeyRange,
    KeyValue,
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    key_absent,
    mod_revision_is,
    value_is,
)
from bilberryspring.connection.claim_messages import (
    decode_key_transaction,
    decode_key_transaction_result,
    encode_key_transaction,
    encode_key_transaction_result,
)
from bilberryspring.identifiers import StoreHistoryId
from bilberryspring.request.errors import ErrorKind, Failure

PREFIX = "/c/"
KEY = "/c/orders/cankaya/key"
PUT = Put(KEY, b"value", 7_587_000_000_000_000_001)
NESTED = Transaction((value_is(KEY, b"mine"),), (PUT,))


@pytest.mark.parametrize(
    "transaction",
    [
        Transaction((key_absent(KEY),), (PUT,), (Get(KEY),)),
        Transaction((mod_revision_is(KEY, 2**40),), (PUT,)),
        Transaction((mod_revision_is(KEY, 9),), (PUT,), (NESTED,)),
        NESTED,
    ],
)
def test_transactions_round_trip(transaction):
    payload = encode_key_transaction(transaction, PREFIX)
    assert decode_key_transaction(payload, PREFIX) == transaction
    assert PREFIX.encode() not in payload


@pytest.mark.parametrize(
    "result",
    [
        TransactionResult(True, (PutResult(5),), 5, StoreHistoryId("9")),
        TransactionResult(False, (KeyRange((), 0),), 0),
        TransactionResult(False, (KeyRange((KeyValue("", b"v", 0, 9, 0),), 0),), 0),
    ],
)
def test_results_round_trip(result):
    assert decode_key_transaction_result(encode_key_transaction_result(result)) == (
        result
    )


def test_nested_results_are_omitted():
    nested = TransactionResult(True, (PutResult(5),), 5)
    payload = encode_key_transaction_result(TransactionResult(False, (nested,), 5))
    assert decode_key_transaction_result(payload).responses == (KeyRange((), 0),)


def test_unsupported_transactions_are_not_encoded():
    with pytest.raises(ValueError):
        transaction = Transaction((key_absent(KEY),), (PUT,), (Delete(KEY),))
        encode_key_transaction(transaction, PREFIX)


def test_deep_nesting_is_rejected():
    deeper = Transaction((key_absent(KEY),), (PUT,), (NESTED,))
    deepest = Transaction((key_absent(KEY),), (PUT,), (deeper,))
    payload = encode_key_transaction(deepest, PREFIX)
    failure = decode_key_transaction(payload, PREFIX)
    assert failure.kind is ErrorKind.MALFORMED_REQUEST


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_message_or_a_failure(payload_bytes):
    for decode, kind in (
        (lambda payload: decode_key_transaction(payload, PREFIX), Transaction),
        (decode_key_transaction_result, TransactionResult),
    ):
        assert isinstance(decode(payload_bytes), kind | Failure)
