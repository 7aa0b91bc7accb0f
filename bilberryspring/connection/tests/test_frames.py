"""Encoding of frames, and rejection of unknown and malformed ones."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.connection.frames import (
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frame,
    read_frame,
)
from bilberryspring.connection.messages import (
    Chunk,
    Final,
    Hello,
    Open,
    Ping,
    Pong,
    Refused,
)
from bilberryspring.request.errors import ErrorKind, Failure

MESSAGES = [
    Ping(2**63),
    Hello("agent-1", b"n" * 16, b"p" * 32, "i"),
    Open("r1", 3, True, False, "c1 c2", body=b"\x00" * 1000, deadline_ms=5),
    Chunk("r1", 7, "ğüş".encode()),
    Final("r1", 200, "application/json", 8, 2**64 - 1, True),
    Refused("r1", "leaving", "why", "not_run", 1.5, "agent-2", 9, "c3"),
]


@pytest.mark.parametrize(
    "message", MESSAGES, ids=lambda message: type(message).__name__
)
def test_messages_round_trip(message):
    assert decode_frame(encode_frame(message)[LENGTH_PREFIX.size :]) == message


@pytest.mark.parametrize("discriminant", [11, 12, 200])
def test_decoding_an_unknown_frame_type_fails(discriminant):
    payload = bytearray(encode_frame(Ping(1))[LENGTH_PREFIX.size :])
    other = encode_frame(Pong(1))[LENGTH_PREFIX.size :]
    (discriminant_index,) = [i for i, byte in enumerate(payload) if byte != other[i]]
    payload[discriminant_index] = discriminant
    assert decode_frame(bytes(payload)).kind is ErrorKind.MALFORMED_REQUEST


@pytest.mark.parametrize("discriminant", [11, 200])
@pytest.mark.parametrize("skip_unknown", [True, False])
async def test_reader_skips_unknown_frame_types_only_on_request(
    discriminant, skip_unknown
):
    frame = bytearray(encode_frame(Ping(1)))
    (discriminant_index,) = [
        i for i, byte in enumerate(encode_frame(Pong(1))) if byte != frame[i]
    ]
    frame[discriminant_index] = discriminant
    reader = asyncio.StreamReader()
    reader.feed_data(bytes(frame) + encode_frame(Ping(2)))
    message = await read_frame(reader, skip_unknown=skip_unknown)
    if skip_unknown:
        assert message == Ping(2)
    else:
        assert message.kind is ErrorKind.MALFORMED_REQUEST


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_decoding_random_bytes_never_raises(payload):
    decode_frame(payload)


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(MESSAGES), st.integers(0, 2**32), st.integers(1, 8))
def test_decoding_corrupted_frames_never_raises(message, seed, flipped_bits):
    rng = random.Random(seed)
    payload = bytearray(encode_frame(message)[LENGTH_PREFIX.size :])
    for _ in range(flipped_bits):
        payload[rng.randrange(len(payload))] ^= 1 << rng.randrange(8)
    decode_frame(bytes(payload))


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"\x01\x00", ErrorKind.MALFORMED_REQUEST),
        (LENGTH_PREFIX.pack(100) + b"short", ErrorKind.MALFORMED_REQUEST),
        (LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1), ErrorKind.REQUEST_TOO_LARGE),
        (LENGTH_PREFIX.pack(0), ErrorKind.MALFORMED_REQUEST),
    ],
)
async def test_reading_a_malformed_stream_fails(data, kind):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    failure = await read_frame(reader)
    assert isinstance(failure, Failure) and failure.kind is kind


async def test_reading_at_the_end_of_the_stream_returns_none():
    reader = asyncio.StreamReader()
    reader.feed_eof()
    assert await read_frame(reader) is None
