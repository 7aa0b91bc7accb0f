"""Idempotency keys: version 7 UUIDs, whose timestamp limits how long a key is valid.

A claim is kept only for the retention. The timestamp in the key lets every agent refuse
a key whose claim may have been deleted, instead of accepting it as a new one.

.. seealso:: RFC 9562, section 5.7, UUID version 7.
"""

import os
import time
import uuid

from bilberryspring.identifiers import IdempotencyKey
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "MAX_CLOCK_SKEW_S",
    "MAX_KEY_FUTURE_S",
    "check_key_age",
    "format_key_time",
    "make_idempotency_key",
    "parse_idempotency_key",
    "read_key_time",
]

KEY_LENGTH = 36
KEY_VERSION = 7
MAX_KEY_FUTURE_S = 60.0
# Maximum clock skew between agents.
MAX_CLOCK_SKEW_S = 900.0
MILLISECONDS_PER_SECOND = 1000
TIME_SHIFT_BITS = 80


def make_idempotency_key(now_s: float | None = None) -> IdempotencyKey:
    """Return a new key.

    :param now_s: timestamp of the key, in seconds since the epoch; ``None`` for now.
    :returns: a version 7 UUID in canonical form.

    >>> make_idempotency_key(1_700_000_000.0)[:13]
    '018bcfe5-6800'
    """
    random_bits = int.from_bytes(os.urandom(10)) & ~(0xF << 76) & ~(0b11 << 62)
    timestamp_s = time.time() if now_s is None else now_s
    value = int(timestamp_s * MILLISECONDS_PER_SECOND) << TIME_SHIFT_BITS
    value |= random_bits | KEY_VERSION << 76 | 0b10 << 62
    return IdempotencyKey(str(uuid.UUID(int=value)))


def read_key_time(key: IdempotencyKey) -> float:
    """Return the timestamp of a key, in seconds since the epoch.

    >>> read_key_time(IdempotencyKey("018bcfe5-6800-7000-8000-000000000000"))
    1700000000.0
    """
    return (uuid.UUID(key).int >> TIME_SHIFT_BITS) / MILLISECONDS_PER_SECOND


def format_key_time(time_s: float) -> str:
    """Return the first characters of the keys with a timestamp; keys sort by them.

    :param time_s: timestamp in seconds since the epoch; a negative one counts as zero.

    >>> format_key_time(1_700_000_000.0)
    '018bcfe5-6800'
    """
    digits = f"{max(int(time_s * MILLISECONDS_PER_SECOND), 0):012x}"
    return f"{digits[:8]}-{digits[8:]}"


def parse_idempotency_key(
    text: str, now_s: float, retention_s: float
) -> IdempotencyKey | Failure:
    """Parse the value of an ``Idempotency-Key`` header.

    :param text: value of the header; a quoted string, the form in the IETF draft of
        this header, is accepted too.
    :param now_s: current time since the epoch.
    :param retention_s: how long a claim is kept.
    :returns: the key in canonical form; ``INVALID_IDEMPOTENCY_KEY`` if it is not a
        version 7 UUID or its timestamp is more than ``MAX_KEY_FUTURE_S`` in the
        future; ``IDEMPOTENCY_KEY_EXPIRED`` if its claim may have been deleted.

    >>> parse_idempotency_key("order-17", 0.0, 60.0).kind.value
    'invalid_idempotency_key'
    """
    unquoted = text.strip()
    if len(unquoted) == KEY_LENGTH + 2 and unquoted[0] == unquoted[-1] == '"':
        unquoted = unquoted[1:-1]
    try:
        parsed = uuid.UUID(unquoted)
    except ValueError:
        return make_failure(ErrorKind.INVALID_IDEMPOTENCY_KEY)
    is_canonical = str(parsed) == unquoted.lower()
    if not is_canonical or parsed.version != KEY_VERSION:
        return make_failure(ErrorKind.INVALID_IDEMPOTENCY_KEY)
    key = IdempotencyKey(str(parsed))
    failure = check_key_age(key, now_s, retention_s)
    return key if failure is None else failure


def check_key_age(
    key: IdempotencyKey, now_s: float, retention_s: float
) -> Failure | None:
    """Return a failure unless the timestamp of a key is within the retention.

    :param key: a parsed key.
    :param now_s: current time since the epoch.
    :param retention_s: how long a claim is kept.
    :returns: ``None`` if the key is valid; ``INVALID_IDEMPOTENCY_KEY`` if its timestamp
        is more than ``MAX_KEY_FUTURE_S`` in the future; ``IDEMPOTENCY_KEY_EXPIRED`` if
        it is older than the retention.
    """
    age_s = now_s - read_key_time(key)
    if age_s < -MAX_KEY_FUTURE_S:
        reason = f"the timestamp of the key is {-age_s:.0f} s in the future"
        return make_failure(ErrorKind.INVALID_IDEMPOTENCY_KEY, reason)
    if age_s > retention_s:
        reason = f"the key is {age_s:.0f} s old, the retention is {retention_s:.0f} s"
        return make_failure(ErrorKind.IDEMPOTENCY_KEY_EXPIRED, reason)
    return None
