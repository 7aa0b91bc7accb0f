"""Decoding of stored and announced configurations from corrupt content."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.request.errors import Failure
from bilberryspring.standin.configurations import make_configuration
from bilberryspring.version.delta import (
    compare_configurations,
    decode_delta,
    encode_delta,
)
from bilberryspring.version.record import (
    ChangeRecord,
    Head,
    ObjectCounts,
    VersionRecord,
    compress_document,
    decode_change_record,
    decode_head,
    decode_version_record,
    decompress_configuration,
    encode_change_record,
    encode_head,
    encode_version_record,
)
from bilberryspring.version.updates import (
    Announcement,
    Update,
    decode_announcement,
    decode_update,
    decode_version,
    encode_announcement,
    encode_update,
    encode_version,
)

BASE, CHANGED = make_configuration(), make_configuration(weight=9)
DELTA = encode_delta(compare_configurations(BASE, 1, CHANGED, 2))
DOCUMENT = compress_document(BASE)
CHANGE = ChangeRecord(2, "d", "t", "ayse", 1.5, {"pools": ObjectCounts(1, 0)}, DELTA)

CASES = [
    (decode_delta, DELTA),
    (decode_head, encode_head(Head(2, "d"))),
    (decode_version_record, encode_version_record(VersionRecord(2, "d", DOCUMENT))),
    (decode_change_record, encode_change_record(CHANGE)),
    (decode_announcement, encode_announcement(Announcement(2, DELTA))),
    (decode_update, encode_update(Update(2, "d", (DELTA,)))),
    (decode_version, encode_version(2)),
    (decompress_configuration, DOCUMENT),
]


@pytest.mark.parametrize(("decode", "valid"), CASES)
def test_encoded_content_can_be_decoded(decode, valid):
    assert not isinstance(decode(valid), Failure)


@settings(deadline=None, max_examples=300)
@given(st.sampled_from(CASES), st.integers(0, 2**32), st.integers(0, 4))
def test_decoding_corrupt_content_never_raises(case, seed, corrupt_bytes):
    decode, valid = case
    rng = random.Random(seed)
    content = bytearray(valid)
    for _ in range(corrupt_bytes):
        content[rng.randrange(len(content))] = rng.choice(b'0{}[]",:\n\xff')
    decode(bytes(content[: rng.randrange(len(content) + 1)]))


@settings(deadline=None, max_examples=200)
@given(
    st.sampled_from(CASES),
    st.binary(max_size=40)
    | st.sampled_from(
        [b"null", b"[]", b"1e999", b"NaN", b'{"version":1e999}', b"[" * 10**5]
    ),
)
def test_decoding_arbitrary_content_never_raises(case, content):
    decode, _ = case
    decode(content)
