"""Idempotency keys, and the stored values of their claims."""

import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.request.claim_values import (
    VALUE_VERSION,
    ClaimState,
    decode_claim_value,
    encode_claim_value,
    make_claimed_value,
    make_recorded_value,
)
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.idempotency import (
    make_idempotency_key,
    parse_idempotency_key,
    read_key_time,
)

NOW_S = 1_800_000_000.0
RETENTION_S = 86_400.0


@pytest.mark.parametrize(
    "text, kind",
    [
        ("", ErrorKind.INVALID_IDEMPOTENCY_KEY),
        (str(uuid.uuid4()), ErrorKind.INVALID_IDEMPOTENCY_KEY),
        (
            make_idempotency_key(NOW_S).replace("-", ""),
            ErrorKind.INVALID_IDEMPOTENCY_KEY,
        ),
        ("{" + make_idempotency_key(NOW_S) + "}", ErrorKind.INVALID_IDEMPOTENCY_KEY),
        (make_idempotency_key(NOW_S + 61), ErrorKind.INVALID_IDEMPOTENCY_KEY),
        (make_idempotency_key(NOW_S + 59), None),
        (make_idempotency_key(NOW_S).upper(), None),
        (f'"{make_idempotency_key(NOW_S)}"', None),
        (make_idempotency_key(NOW_S - RETENTION_S + 1), None),
        (
            make_idempotency_key(NOW_S - RETENTION_S - 1),
            ErrorKind.IDEMPOTENCY_KEY_EXPIRED,
        ),
    ],
    ids=range(10),
)
def test_parse_idempotency_key_accepts_only_valid_current_keys(text, kind):
    parsed = parse_idempotency_key(text, NOW_S, RETENTION_S)
    if kind is None:
        assert parsed == text.strip('"').lower()
    else:
        assert parsed.kind is kind


@given(st.text(max_size=60) | st.uuids().map(str))
def test_arbitrary_text_is_a_valid_key_or_a_failure(text):
    parsed = parse_idempotency_key(text, NOW_S, RETENTION_S)
    if not isinstance(parsed, Failure):
        assert NOW_S - RETENTION_S <= read_key_time(parsed) <= NOW_S + 60


@given(st.floats(0, 2**48 / 1000 - 1))
def test_key_contains_its_timestamp(now_s):
    key = make_idempotency_key(now_s)
    assert uuid.UUID(key).version == 7
    assert abs(read_key_time(key) - now_s) <= 0.0011


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_a_claim_or_none(raw):
    for start in (b"", VALUE_VERSION, b"{"):
        value = decode_claim_value(start + raw)
        assert value is None or value.state in ClaimState


@given(
    st.binary(min_size=16, max_size=16).map(bytes.hex),
    st.integers(100, 599),
    st.text(max_size=40),
    st.binary(max_size=20_000),
)
def test_claim_values_round_trip(digest, status, content_type, body):
    claimed = make_claimed_value(b"token", "agent-1", digest, 5)
    recorded = make_recorded_value(claimed, status, content_type, body)
    for value in (claimed, recorded):
        assert decode_claim_value(encode_claim_value(value)) == value
    assert recorded.body == (body if len(body) <= 16_384 else None)


def test_values_of_the_previous_version_are_decoded():
    digest = "950f2bbdfde655a31c0cfe99dd813d36"
    recorded = (
        b'{"state":"recorded","token":"WVn0NWbPYJFxhXm8","holder":"agent-1",'
        b'"digest":"950f2bbdfde655a31c0cfe99dd813d36","deadline_ms":5,"status":200,'
        b'"content_type":"text/plain","body":"ZG9uZQ==",'
        b'"body_digest":"950f2bbdfde655a31c0cfe99dd813d36"}'
    )
    value = decode_claim_value(recorded)
    assert (value.state, value.digest) == (ClaimState.RECORDED, digest)
    assert (value.status, value.content_type, value.body) == (
        200,
        "text/plain",
        b"done",
    )
