"""Decoders and parsers return a value or a failure for any input, and do not raise."""

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.connection.cache_directory_messages import (
    CacheLocation,
    decode_location,
    encode_location,
)
from bilberryspring.connection.frames import encode_frame
from bilberryspring.connection.load_messages import (
    LoadMessage,
    LoadSample,
    WorkspaceUsage,
    decode_load_message,
    encode_load_message,
)
from bilberryspring.connection.messages import Attach
from bilberryspring.process.caller_api import parse_event_id
from bilberryspring.process.orders import Order, parse_order
from bilberryspring.process.settings import (
    AgentSettings,
    RouterSettings,
    load_settings,
)
from bilberryspring.process.traces import parse_traceparent
from bilberryspring.request.bearer import read_bearer_key
from bilberryspring.request.errors import Failure

LOAD = encode_load_message(
    LoadMessage(
        1,
        2,
        (LoadSample(3, 1.0, 2.0, 4), LoadSample(5, 1.0, 2.0, 6, True)),
        (WorkspaceUsage(7, 1.0),),
        (8,),
    )
)
LOCATION = encode_location(CacheLocation("chat", "agent-1", "d", 3, "m", 900, "v"))
PEER_CASES = [
    (decode_load_message, LOAD, LoadMessage),
    (decode_location, LOCATION, CacheLocation),
]


@settings(deadline=None, max_examples=400, derandomize=True)
@given(st.sampled_from(PEER_CASES), st.integers(0, 2**32), st.integers(0, 6))
def test_corrupted_messages_decode_to_a_message_or_a_failure(case, seed, flips):
    decode, valid, kind = case
    generator = random.Random(seed)
    payload = bytearray(valid)
    for _ in range(flips):
        payload[generator.randrange(len(payload))] ^= 1 << generator.randrange(8)
    if generator.random() < 0.3:
        del payload[generator.randrange(len(payload)) :]
    assert isinstance(decode(bytes(payload)), kind | Failure)


EVENT_IDS = st.text(max_size=20) | st.builds(
    "{}/{}/{}".format,
    st.text(max_size=4),
    st.text(max_size=4),
    st.sampled_from(["", "-1", "+1", "1_0", "٣", "9" * 18, "9" * 5_000])
    | st.integers().map(str),
)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(EVENT_IDS)
def test_any_event_id_is_refused_or_fits_an_attach_frame(text):
    parsed = parse_event_id(text)
    if not isinstance(parsed, Failure):
        _, request_id, sequence = parsed
        assert encode_frame(Attach(request_id, "w", sequence + 1))


HEADERS = st.text(max_size=60) | st.from_regex(
    r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}(-x)?", fullmatch=True
)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(HEADERS)
def test_any_header_is_parsed_to_a_valid_context_or_none(text):
    context = parse_traceparent(text)
    assert context is None or context.is_valid
    assert isinstance(read_bearer_key(text), str)
    assert read_bearer_key(f"Bearer {text}") == text.strip()


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["order", "target", "instance_id"]), inner, max_size=3
        )
    ),
    max_leaves=6,
)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(JSON)
def test_any_document_is_parsed_to_an_order_or_a_failure(document):
    assert isinstance(parse_order(document, "ayse"), Order | Failure)


FILES = st.binary(max_size=60) | st.text(max_size=60).map(str.encode)


@settings(deadline=None, max_examples=200, derandomize=True)
@given(FILES | JSON.map(lambda document: json.dumps(document).encode()))
def test_any_file_is_refused_as_settings(tmp_path_factory, content):
    path = tmp_path_factory.getbasetemp() / "settings.json"
    path.write_bytes(content)
    for model in (RouterSettings, AgentSettings):
        assert isinstance(load_settings(path, model), Failure)


@pytest.mark.parametrize(
    "content", [b"[" * 100_000, b"1e999", b"{a: " + b"9" * 5_000 + b"}", b"\xff"]
)
def test_extreme_or_malformed_files_are_refused_as_settings(tmp_path, content):
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    assert isinstance(load_settings(path, RouterSettings), Failure)
