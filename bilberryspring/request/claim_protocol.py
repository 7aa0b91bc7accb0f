"""Transactions of the claim protocol and the interpretation of their results.

A claim is a compare-and-swap from the state in which the key was last seen, absent or
released, to the state ``claimed`` with a unique token. Such a write can take effect
long after its caller stopped waiting for it, but not after the value of the key has
changed. A claim is therefore released by writing the state ``released`` with its token
and not by deleting the key: the compare of every delayed write of the claim then fails.
Values are compared, not revisions, since a store that is restored from a copy gives
revisions out again.
"""

from dataclasses import dataclass

from bilberryspring.capability.store import (
    Compare,
    Get,
    KeyRange,
    Put,
    PutResult,
    Transaction,
    TransactionResult,
    key_absent,
    mod_revision_is,
    value_is,
)
from bilberryspring.request.claim_values import (
    ClaimState,
    ClaimValue,
    decode_claim_value,
    encode_claim_value,
    make_released_value,
)
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure

__all__ = [
    "ClaimAttempt",
    "ClaimHeld",
    "ClaimReleased",
    "StoredResponse",
    "resolve_existing_claim",
    "make_claim_transaction",
    "make_record_transaction",
    "make_release_transaction",
    "make_restore_transaction",
    "continue_restore",
    "interpret_claim_result",
]

MAX_RETRY_AFTER_S = 5.0
MIN_RETRY_AFTER_S = 0.5
# Time after the deadline in which a holder that did not send the request can release
# its claim.
RELEASE_GRACE_S = 2.0


@dataclass(frozen=True, slots=True)
class ClaimAttempt:
    """One attempt to claim a key.

    :param path: key in the key-value service.
    :param value: the claim to be stored.
    :param base: released value that the key is expected to have, and its revision;
        ``None`` if the key is expected to be absent.
    """

    path: str
    value: ClaimValue
    base: "ClaimReleased | None" = None


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Result of a successful claim."""


@dataclass(frozen=True, slots=True)
class ClaimReleased:
    """Result of a claim on a key that is absent or was released.

    :param revision: revision of the key; zero if the key is absent.
    :param value: stored value, which the next attempt compares with if it has a token.
    """

    revision: int
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Stored response of an earlier request with the same idempotency key.

    :param status: HTTP status code.
    :param content_type: media type of the body.
    :param body: the whole body.
    """

    status: int
    content_type: str
    body: bytes


def _compare_base(attempt: ClaimAttempt) -> Compare:
    base = attempt.base
    if base is None or not base.revision:
        return key_absent(attempt.path)
    released = decode_claim_value(base.value)
    if released is not None and released.token:
        # Values with a token differ in all histories of the store; revisions don't.
        return value_is(attempt.path, base.value)
    return mod_revision_is(attempt.path, base.revision)


def make_claim_transaction(attempt: ClaimAttempt) -> Transaction:
    """Return the transaction that claims a key, or reads its value if that fails.

    Sending it again after a lost reply is safe: the token shows whether an earlier
    attempt took effect. Claims are written without a lease, so that no lease
    expiration can free the key.
    """
    put = Put(attempt.path, encode_claim_value(attempt.value))
    return Transaction((_compare_base(attempt),), (put,), (Get(attempt.path),))


def make_release_transaction(attempt: ClaimAttempt) -> Transaction:
    """Return the transaction that releases a claim whose request was not sent.

    The claim need not be known to have taken effect: once this transaction has been
    applied, no write of the claim can take effect.
    """
    released = encode_claim_value(make_released_value(attempt.value.token))
    put = Put(attempt.path, released)
    if_claimed = Transaction((_compare_claimed(attempt),), (put,))
    return Transaction((_compare_base(attempt),), (put,), (if_claimed,))


def make_record_transaction(attempt: ClaimAttempt, outcome: ClaimValue) -> Transaction:
    """Return the transaction that replaces a held claim with its outcome.

    :param attempt: attempt that holds the claim.
    :param outcome: value in the state ``recorded`` or ``unknown``.
    """
    put = Put(attempt.path, encode_claim_value(outcome))
    return Transaction((_compare_claimed(attempt),), (put,))


def make_restore_transaction(path: str, value: ClaimValue) -> Transaction:
    """Return the transaction that writes a claim again if its key is absent.

    :param path: key in the key-value service.
    :param value: the claim of a request that was sent, or its outcome.
    """
    put = Put(path, encode_claim_value(value))
    return Transaction((key_absent(path),), (put,), (Get(path),))


def continue_restore(
    attempt: ClaimAttempt, value: ClaimValue, result: TransactionResult
) -> Transaction | None:
    """Return the transaction that follows another one of a restoration.

    The own claim without its outcome, and a released claim, are replaced. What another
    request has claimed stays.

    :param attempt: attempt that held the claim.
    :param value: the claim, or its outcome.
    :param result: result of the previous transaction.
    :returns: the next transaction, ``None`` if the key has its final value.
    """
    [response] = result.responses
    if result.succeeded or not isinstance(response, KeyRange):
        return None
    if not response.items:
        return make_restore_transaction(attempt.path, value)
    [item] = response.items
    stored = decode_claim_value(item.value)
    is_own = stored == attempt.value and stored != value
    is_released = stored is not None and stored.state is ClaimState.RELEASED
    if not is_own and not is_released:
        return None
    put = Put(attempt.path, encode_claim_value(value))
    compare = value_is(attempt.path, item.value)
    return Transaction((compare,), (put,), (Get(attempt.path),))


def _compare_claimed(attempt: ClaimAttempt) -> Compare:
    return value_is(attempt.path, encode_claim_value(attempt.value))


def interpret_claim_result(
    attempt: ClaimAttempt, result: TransactionResult, now_s: float
) -> ClaimHeld | ClaimReleased | StoredResponse | Failure:
    """Interpret the result of a claim's transaction.

    :param attempt: the claim that was sent.
    :param result: reply of the key-value service.
    :param now_s: current time since the epoch.
    :returns: ``ClaimHeld`` if this or an earlier attempt with the same token took
        effect; ``ClaimReleased`` if the key may be claimed from another revision;
        otherwise the response for the request, see :func:`resolve_existing_claim`.
    """
    [response] = result.responses
    if result.succeeded:
        assert isinstance(response, PutResult)
        return ClaimHeld()
    assert isinstance(response, KeyRange)
    if not response.items:
        return ClaimReleased(0)
    [item] = response.items
    stored = decode_claim_value(item.value)
    if stored is None:
        return make_failure(ErrorKind.OUTCOME_UNKNOWN, "the stored claim is unreadable")
    if stored == attempt.value:
        return ClaimHeld()
    if stored.state is ClaimState.RELEASED:
        return ClaimReleased(item.mod_revision, item.value)
    return resolve_existing_claim(stored, attempt.value.digest, now_s)


def resolve_existing_claim(
    stored: ClaimValue, digest: str, now_s: float
) -> StoredResponse | Failure:
    """Return the response for a request whose key another request has claimed.

    :param stored: claim of the other request.
    :param digest: content digest of this request.
    :param now_s: current time since the epoch.
    :returns: the stored response, or a failure: ``IDEMPOTENCY_KEY_REUSED`` if the
        digests differ, ``REQUEST_IN_PROGRESS`` while the holder may still act,
        ``OUTCOME_UNKNOWN`` if it recorded no outcome in time, and ``UNKNOWN_ANSWER``
        if the response was too large to store.
    """
    if stored.digest != digest:
        return make_failure(ErrorKind.IDEMPOTENCY_KEY_REUSED)
    if stored.state is ClaimState.RECORDED:
        return _decode_outcome(stored)
    if stored.state is ClaimState.UNKNOWN:
        return make_failure(ErrorKind.OUTCOME_UNKNOWN)
    remaining_s = stored.deadline_ms / 1000 + RELEASE_GRACE_S - now_s
    if remaining_s <= 0:
        reason = f"{stored.holder} did not record an outcome before its deadline"
        return make_failure(ErrorKind.OUTCOME_UNKNOWN, reason)
    retry_after_s = min(max(remaining_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    return make_failure(ErrorKind.REQUEST_IN_PROGRESS, retry_after_s=retry_after_s)


def _decode_outcome(stored: ClaimValue) -> StoredResponse | Failure:
    if stored.body is not None:
        return StoredResponse(stored.status, stored.content_type, stored.body)
    reason = (
        f"the request ran with status {stored.status}; its response with digest "
        f"{stored.body_digest} was too large to store"
    )
    return make_failure(ErrorKind.UNKNOWN_ANSWER, reason, outcome=Outcome.RAN)
