"""Every decoder of what others wrote returns for any input, and raises nothing.

A new decoder is added to the registry by the decorator, with sound samples.
"""

import json
from collections.abc import Callable, Sequence

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.cache_directory_messages import decode_location
from bilberryspring.connection.cached_part_messages import CachedPartReport
from bilberryspring.connection.claim_messages import (
    decode_key_transaction,
    decode_key_transaction_result,
)
from bilberryspring.connection.cold_messages import ColdReport
from bilberryspring.connection.evacuation_messages import EvacuationReport
from bilberryspring.connection.frames import decode_frame, encode_frame
from bilberryspring.connection.http_caller import HttpRequest
from bilberryspring.connection.instance_list_messages import decode_list_state
from bilberryspring.connection.limit_messages import (
    CreditMessage,
    LimitReport,
    decode_credit_message,
    encode_credit_message,
)
from bilberryspring.connection.load_messages import NameHash, decode_load_message
from bilberryspring.connection.messages import Ping
from bilberryspring.connection.router_reports import (
    RouterReport,
    SnapshotEntry,
    StoreSnapshot,
    decode_report,
    decode_snapshot,
    encode_report,
    encode_snapshot,
)
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.backend_calls import (
    _decode_cold_s,
    _decode_keep_alive_s,
    _decode_load,
)
from bilberryspring.platform.caller_requests import decode_request
from bilberryspring.platform.document_decoders import (
    decode_routing_table,
    decode_server,
)
from bilberryspring.platform.evacuation_watcher import EvacuationWatcher
from bilberryspring.platform.instances import parse_instance_list
from bilberryspring.platform.metadata_messages import (
    StoreListing,
    decode_changes,
    decode_page,
    decode_response,
    parse_body,
)
from bilberryspring.platform.settings_file import load_machine_settings
from bilberryspring.platform.tests.platform_standin import CONFIGURATION, ServerStandin
from bilberryspring.process.administration_client import _parse_json_object
from bilberryspring.process.backend_watch import _read_text
from bilberryspring.process.node_state import decode_node_state
from bilberryspring.process.orders import decode_order_call
from bilberryspring.process.preview_requests import decode_preview_request
from bilberryspring.process.zone_evacuations import make_zone_evacuations
from bilberryspring.request.cache_directory import digest_prefixes, read_messages
from bilberryspring.request.claim_values import decode_claim_value
from bilberryspring.request.errors import Failure
from bilberryspring.request.event_text import read_choice, read_event
from bilberryspring.request.stream_liveness import decode_stream_state
from bilberryspring.version.delta import decode_delta
from bilberryspring.version.document import parse_document
from bilberryspring.version.record import (
    decode_change_record,
    decode_head,
    decode_version_record,
)
from bilberryspring.version.updates import (
    decode_announcement,
    decode_update,
    decode_version,
)

Decoder = Callable[[bytes], object]
DECODERS: dict[str, tuple[Decoder, Sequence[bytes]]] = {}
POSITION = StorePosition(StoreEpoch(1), 9)
TABLE = decode_routing_table(json.dumps(CONFIGURATION).encode(), POSITION)


def register_decoder(*samples: bytes) -> Callable[[Decoder], Decoder]:
    """Return a decorator that adds a decoder to the registry.

    :param samples: inputs, some parts of which are replaced.
    """

    def register(decode: Decoder) -> Decoder:
        name = decode.__name__
        assert name not in DECODERS
        DECODERS[name] = (decode, samples)
        return decode

    return register


def to_json(document):
    return json.dumps(document).encode()


ITEM = {"key": "servers/a", "revision": 4, "value": "aaaa"}
HEAD = {"version": 3, "digest": "d", "deltas": 0, "token": "t", "operator": "o"}
PUBLICATION = {
    **HEAD,
    "published_s": 1.0,
    "counts": {"pools": {"changed": 1, "removed": 0}},
}
DELTA = {
    "base_version": 1,
    "version": 2,
    "base_digest": "d",
    "digest": "e",
    "sections": {"pools": {"changed": [], "removed": ["p"]}},
}
CLAIM = {"state": "claimed", "token": "t", "digest": "", "body": "aaaa"}
EVENT = {"choices": [{"delta": {"content": "a"}, "finish_reason": None}], "usage": {}}
INSTANCE = {
    "instance_id": "agent-1",
    "role": "agent",
    "pool": "p",
    "availability_zone": "z",
    "region": "r",
    "address": "127.0.0.1:7000",
    "state": "live",
    "weight": 1.0,
}
LIMIT = LimitReport(1, 2, 5.4, 0.2, 0.1, 9)
EVACUATION = EvacuationReport(NameHash(3), POSITION, None, True, 0.5)
REPORT = RouterReport(
    "front-1", 1, 1, 1, 2, (), limits=(LIMIT,), evacuations=(EVACUATION,)
)
COLD = ColdReport(1, 2, 13.0, 3.0, 0.1, 4, 9, True)
REPORT = RouterReport("front-1", 1, 1, 1, 2, (), limits=(LIMIT,), cold_servers=(COLD,))
CACHED_PART = CachedPartReport(1, 2, 9000, 0.2)
REPORT = RouterReport(
    "front-1", 1, 1, 1, 2, (), limits=(LIMIT,), cached_parts=(CACHED_PART,)
)
SNAPSHOT = StoreSnapshot((SnapshotEntry("servers/a", b"{}", POSITION),), 0.1)
SETTINGS = b"""
node = "front-1"
ip = "127.0.0.1"
zone = "a"
internalPorts = [7340,7355]
[listen]
front = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
[bounds]
graceS = 8
[platform]
address = "127.0.0.1:8223"
"""


COLD_SERVICE = {**CONFIGURATION["services"][0], "coldStartS": 3.0, "coldPerS": 13.0}


@register_decoder(
    to_json(CONFIGURATION), to_json({**CONFIGURATION, "services": [COLD_SERVICE]})
)
def read_configuration(content):
    return decode_routing_table(content, POSITION)


ENTRY = {**ServerStandin().make_entry(), "address": "127.0.0.1:80"}


@register_decoder(to_json(ENTRY), to_json({**ENTRY, "coldRemainingMs": 3000}))
def read_server(content):
    return decode_server("a", content)


@register_decoder(to_json({"items": [ITEM], "currentRev": 9}))
def read_page(content):
    response = decode_response(200, content, StoreEpoch(1))
    if isinstance(response, Failure):
        return response
    return parse_body(response, lambda body: decode_page(body, StoreEpoch(1)))


@register_decoder(to_json({"events": [{**ITEM, "tombstone": True}], "currentRev": 9}))
def read_changes(content):
    response = decode_response(200, content, StoreEpoch(1))
    if isinstance(response, Failure):
        return response
    return parse_body(response, lambda body: decode_changes(body, POSITION))


@register_decoder(
    to_json(
        {
            "items": [{**ITEM, "key": f"op/evacuate/{zone}"} for zone in ("z1", "z2")],
            "currentRev": 9,
        }
    )
)
def read_evacuations(content):
    page = read_page(content)
    evacuations = make_zone_evacuations(count_servers=lambda zone: 1)
    watcher = EvacuationWatcher(None, evacuations)
    if not isinstance(page, Failure):
        items, position, _ = page
        watcher._apply_listing(StoreListing(items, position))
        for item in items:
            watcher._apply_change(item)
    return evacuations.list_reports(8)


@register_decoder(b"5", b"3, 0, 8, 150", b"timeout=5, max=100")
def read_server_headers(content):
    return [
        _decode_load(content),
        _decode_keep_alive_s(content),
        _decode_cold_s(content),
    ]


@register_decoder(b"5", b"12,9", b"a:9,b:3", b"1e999", b"nan", b"Bearer x")
def read_caller_headers(content):
    names = (b"Deadline-Ms", b"Token-Counts", b"Prompt-Prefix", b"Length-Hint")
    headers = [(b"Host", b"a.example"), (b"Attempt-Id", content)]
    results = []
    for name in (*names, b"Authorization", b"Host", b"Model"):
        request = HttpRequest("GET", b"/open/x", [*headers, (name, content)], b"", 0.0)
        results.append(decode_request(request, TABLE))
    return results


@register_decoder(
    to_json({"route": "orders", "workspace": "ward", "time_left_s": 2.5}),
    to_json({"host": "a.example", "path": "/open/x", "tried": ["s1"]}),
    to_json({"route": "open", "parts": [{"id": "p", "tokens": 7}], "model": "m"}),
)
def read_preview_request(content):
    return decode_preview_request(content, TABLE, 0.0)


@register_decoder(to_json({"revision": 3, "instances": [INSTANCE]}))
def read_instance_list(content):
    try:
        document = json.loads(content)
    except (ValueError, RecursionError):
        return None
    return parse_instance_list(document)


@register_decoder(encode_report(REPORT))
def read_report(content):
    return decode_report(content)


@register_decoder(
    encode_credit_message(CreditMessage(1, 2, 3, True, 1, 0.5, LIMIT)),
    encode_credit_message(CreditMessage(1, 2, 3, True, 1, 0.5, LIMIT, COLD, True)),
)
def read_credit_message(content):
    return decode_credit_message(content)


@register_decoder(encode_snapshot(SNAPSHOT))
def read_snapshot(content):
    return decode_snapshot(content)


@register_decoder(encode_frame(Ping(7))[4:])
def read_frame(content):
    return decode_frame(content)


@register_decoder(encode_report(REPORT))
def read_messages_of_agents(content):
    return [
        decode_load_message(content),
        decode_location(content),
        decode_key_transaction(content, "/c/"),
        decode_key_transaction_result(content),
        decode_list_state(content),
    ]


@register_decoder(to_json(CLAIM))
def read_claim(content):
    return decode_claim_value(content)


@register_decoder(to_json({"messages": [{"role": "user", "content": "a"}]}))
def read_chat(content):
    return digest_prefixes(read_messages(content))


@register_decoder(to_json(EVENT), b"[DONE]")
def read_engine_event(content):
    return [read_event(content), read_choice(content)]


@register_decoder(b"data: " + to_json(EVENT) + b"\ndata: [DONE]\n")
def read_fingerprint(content):
    return [_read_text(content), _read_text(b"data: " + content + b"\ndata: [DONE]\n")]


@register_decoder(to_json({"state": "running"}))
def read_stream_state(content):
    return decode_stream_state(content)


@register_decoder(
    to_json({"fencing": 3, "order": "drain", "target": "", "operator": ""})
)
def read_order(content):
    return decode_order_call(content)


@register_decoder(to_json({"instance_id": "a", "version": 3, "load": 0.5}))
def read_node_state(content):
    return decode_node_state(content)


@register_decoder(to_json({"outcome": "unknown"}))
def read_administration_reply(content):
    return _parse_json_object(content)


@register_decoder(to_json(HEAD), to_json(PUBLICATION) + b"\nx", to_json(DELTA))
def read_versions(content):
    return [
        decode_head(content),
        decode_version_record(content),
        decode_change_record(content),
        decode_delta(content),
        decode_announcement(content),
        decode_version(content),
        decode_update(content),
    ]


@register_decoder(to_json(DELTA), b'{"pools": [], /* none yet */}')
def read_published_document(content):
    # Comments are parsed in Python, which takes long for long documents.
    return parse_document(content[:2_000])


EXTREME_VALUES = [
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b"1e999",
    b"-1e999",
    b"NaN",
    b"9" * 10_000,
    b"1" + b"0" * 400,
    b"true",
    b'"\\ud800"',
    b'"\xed\xa0\x80"',
    b"\xff\xfe",
    b'"\\u0000"',
    b"null",
    b"[]",
    b"{}",
    b"-1",
    b"99999",
    b'"x"',
    b'"\xc2\xb2"',
    b"",
]
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from([10**400, "1e999", "\ud800", "9" * 5_000, "aaaa"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
).map(lambda document: json.dumps(document).encode())
VALUES = st.sampled_from(EXTREME_VALUES) | JSON_VALUES | st.binary(max_size=30)


def list_json_spans(content):
    """Return where each value of a JSON document begins and ends."""
    decoder, text, spans = json.JSONDecoder(), content.decode("latin-1"), []
    for start in range(len(text)):
        if start and text[start - 1] not in "[{:, ":
            continue
        try:
            _, end = decoder.raw_decode(text, start)
        except ValueError:
            continue
        spans.append((start, end))
    return spans


@st.composite
def odd_contents(draw, samples):
    """Return a sample in which values or bytes are replaced, or any content."""
    if draw(st.integers(0, 3)) == 0:
        return draw(VALUES)
    content = draw(st.sampled_from(samples))
    for _ in range(draw(st.integers(1, 3))):
        spans = list_json_spans(content) if len(content) < 3_000 else []
        if spans and draw(st.booleans()):
            start, end = draw(st.sampled_from(spans))
        else:
            start = draw(st.integers(0, max(len(content) - 1, 0)))
            end = start + draw(st.integers(0, 4))
        content = content[:start] + draw(VALUES) + content[end:]
    return content


@pytest.mark.parametrize("name", DECODERS)
def test_sound_samples_are_read(name):
    decode, samples = DECODERS[name]
    assert decode(samples[0]) is not None


@pytest.mark.parametrize("name", DECODERS)
def test_extreme_content_raises_nothing(name):
    decode, samples = DECODERS[name]
    for value in (*EXTREME_VALUES, b" " * 3_000_000, b"x" * 3_000_000):
        decode(value)
        for sample in samples:
            for start, end in list_json_spans(sample):
                decode(sample[:start] + value[:200_000] + sample[end:])


@pytest.mark.parametrize("name", DECODERS)
def test_odd_content_raises_nothing(name):
    decode, samples = DECODERS[name]

    @settings(
        deadline=None,
        max_examples=100,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(odd_contents(samples))
    def check(content):
        decode(content)

    check()


@pytest.mark.parametrize("value", EXTREME_VALUES)
def test_odd_settings_file_is_read_or_refused(tmp_path, value):
    path = tmp_path / "node.toml"
    for old in (b"8\n", b'"a"\n', b"[7340,7355]", b'"127.0.0.1:8227"', SETTINGS):
        path.write_bytes(SETTINGS.replace(old, value[:100_000] + b"\n", 1))
        load_machine_settings(str(path))
