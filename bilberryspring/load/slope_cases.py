"""Slope cases of production state objects and operations, up to the target size."""

import json
from collections.abc import Callable

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
)
from bilberryspring.connection.frames import decode_frame, encode_frame
from bilberryspring.connection.messages import Call, Chunk, Message, Open, Ping
from bilberryspring.identifiers import ChatKey, InstanceId, RequestId, WorkspaceName
from bilberryspring.load.slopes import register_cpu_case, register_memory_case
from bilberryspring.platform.instances import (
    parse_instance_list,
)
from bilberryspring.policy.placement import rank_candidates
from bilberryspring.process.membership import Members, make_members
from bilberryspring.process.metrics import LatencyHistogram
from bilberryspring.process.traces import start_span
from bilberryspring.version.document import check_document, encode_document
from bilberryspring.version.index import digest_key, make_index
from bilberryspring.version.objects import Configuration

__all__ = [
    "make_large_configuration",
    "make_instance_list_document",
    "make_large_document",
]

NODE_COUNTS = (160, 320, 640, 1280)
REPLICA_COUNTS = (55, 110, 220, 440, 880)
WORKSPACE_COUNTS = (425, 850, 1700, 3400)
CHUNK_BYTES = 200
ZONES = (("r1", "z1"), ("r1", "z2"), ("r1", "z3"), ("r2", "z4"), ("r2", "z5"))


def make_instance_list_document(count: int) -> dict[str, object]:
    """Return the instance list of the platform with eleven agents for five routers.

    :param count: number of instances.
    """
    return {"revision": 1, "instances": [_make_instance_entry(i) for i in range(count)]}


def _make_instance_entry(number: int) -> dict[str, object]:
    is_agent = number % 16 < 11
    region, zone = ZONES[number % len(ZONES)]
    return {
        "instance_id": f"{'agent' if is_agent else 'router'}-{number:05d}",
        "role": "agent" if is_agent else "router",
        "pool": f"model-{number % 3}" if is_agent else "",
        "availability_zone": zone,
        "region": region,
        "address": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:7000",
        "state": "live",
        "weight": 1.0,
    }


def make_large_document(workspaces: int) -> bytes:
    """Return an encoded configuration document with three models and many workspaces.

    :param workspaces: number of workspaces, each with two API keys.
    """
    pools = [{"name": f"pool-{i}", "kind": "engine"} for i in range(3)]
    models = [
        {"name": f"model-{i}", "pool": f"pool-{i}", "max_context_tokens": 1_000_000}
        for i in range(3)
    ]
    ranks = [
        {"name": f"r{i}", "order": i, "minimum_share": 0.1, "target_wait_s": 5.0}
        for i in range(3)
    ]
    routes = [
        {
            "name": f"route-{i}",
            "pool": f"pool-{i}",
            "work_rank": "r0",
            "idempotent": True,
            "deadline_s": 60.0,
        }
        for i in range(3)
    ]
    workspace_entries = [
        {
            "name": f"workspace-{i}",
            "key_digests": [digest_key(f"{i}/a"), digest_key(f"{i}/b")],
            "weight": 2.0,
            "routes": ["route-0", "route-1"],
        }
        for i in range(workspaces)
    ]
    document = {
        "pools": pools,
        "models": models,
        "work_ranks": ranks,
        "routes": routes,
        "workspaces": workspace_entries,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _parse_instances(count: int) -> InstanceList:
    return parse_instance_list(make_instance_list_document(count))


def make_large_configuration(workspaces: int) -> Configuration:
    """Return the validated configuration of :func:`make_large_document`.

    :param workspaces: number of workspaces.
    """
    return check_document(make_large_document(workspaces))


@register_memory_case("membership table", "node", NODE_COUNTS)
def build_members(count: int) -> Members:
    """Build the membership table of a fleet."""
    members = make_members(InstanceId("agent-00000"))
    members.adopt(_parse_instances(count))
    for pool in ("model-0", "model-1", "model-2"):
        members.instances(pool)
    return members


@register_memory_case("configuration and its index", "workspace", WORKSPACE_COUNTS)
def build_configuration(workspaces: int) -> object:
    """Build a configuration with its index, as a process holds the current version."""
    configuration = make_large_configuration(workspaces)
    return configuration, make_index(configuration)


@register_memory_case("latency histogram", "label set", (1, 8, 32))
def build_histograms(count: int) -> LatencyHistogram:
    """Build a latency histogram with a number of label sets."""
    histogram = LatencyHistogram("first_token_seconds", "First token", ("rank",))
    for number in range(count):
        histogram.observe(0.1, f"rank-{number}")
    return histogram


def _make_chunk() -> Chunk:
    return Chunk(RequestId("r" * 32), 1234, b"x" * CHUNK_BYTES)


def _make_open(body_bytes: int) -> Open:
    return Open(
        RequestId("r" * 32),
        streaming=True,
        workspace=WorkspaceName("workspace-1234"),
        rank="urgent",
        route="route-0",
        pool="pool-0",
        model="model-0",
        chat_key=ChatKey("c" * 32),
        body=b"x" * body_bytes,
        content_digest="d" * 32,
        prompt_tokens=4000,
        max_tokens=400,
        deadline_ms=60_000,
        traceparent="t" * 55,
        config_version=7,
    )


def _prepare_encoding(message: Message) -> Callable[[], bytes]:
    return lambda: encode_frame(message)


def _prepare_decoding(message: Message) -> Callable[[], object]:
    payload = encode_frame(message)[4:]
    return lambda: decode_frame(payload)


@register_cpu_case("encode a chunk of 200 bytes", "", (1,))
def prepare_chunk_encoding(size: int) -> Callable[[], bytes]:
    """Prepare the encoding of a response chunk."""
    return _prepare_encoding(_make_chunk())


@register_cpu_case("decode a chunk of 200 bytes", "", (1,))
def prepare_chunk_decoding(size: int) -> Callable[[], object]:
    """Prepare the decoding of a response chunk."""
    return _prepare_decoding(_make_chunk())


@register_cpu_case("encode a request", "body byte", (4_000, 16_000, 64_000))
def prepare_request_encoding(size: int) -> Callable[[], bytes]:
    """Prepare the encoding of a request with a given body size."""
    return _prepare_encoding(_make_open(size))


@register_cpu_case("decode a request", "body byte", (4_000, 16_000, 64_000))
def prepare_request_decoding(size: int) -> Callable[[], object]:
    """Prepare the decoding of a request with a given body size."""
    return _prepare_decoding(_make_open(size))


@register_cpu_case("encode and decode a ping", "", (1,))
def prepare_ping(size: int) -> Callable[[], object]:
    """Prepare the encoding and decoding of a liveness frame."""
    return lambda: decode_frame(encode_frame(Ping(7))[4:])


@register_cpu_case("encode and decode a peer call of 400 bytes", "", (1,))
def prepare_call(size: int) -> Callable[[], object]:
    """Prepare the encoding and decoding of a call between peers."""
    call = Call(7, "load.exchange", b"x" * 400)
    return lambda: decode_frame(encode_frame(call)[4:])


def _prepare_placement(policy: str, size: int) -> Callable[[], list[Instance]]:
    instances = [
        instance
        for instance in _parse_instances(size * 16 // 11 + 1).instances
        if instance.pool
    ][:size]
    loads = {instance.instance_id: 10.0 for instance in instances}
    return lambda: rank_candidates(policy, ChatKey("c" * 32), instances, loads)


@register_cpu_case("rank candidates, bounded rendezvous", "replica", REPLICA_COUNTS)
def prepare_rendezvous(size: int) -> Callable[[], list[Instance]]:
    """Prepare one placement with the default policy."""
    return _prepare_placement("bounded_rendezvous", size)


@register_cpu_case("rank candidates, consistent hashing", "replica", REPLICA_COUNTS)
def prepare_consistent_hashing(size: int) -> Callable[[], list[Instance]]:
    """Prepare one placement with plain consistent hashing."""
    return _prepare_placement("consistent_hashing", size)


@register_cpu_case("parse the instance list", "node", NODE_COUNTS)
def prepare_list_parsing(size: int) -> Callable[[], object]:
    """Prepare the parsing of a changed instance list."""
    text = json.dumps(make_instance_list_document(size))
    return lambda: parse_instance_list(json.loads(text))


@register_cpu_case("adopt a parsed instance list", "node", NODE_COUNTS)
def prepare_list_adoption(size: int) -> Callable[[], object]:
    """Prepare the adoption of a changed instance list."""
    members = build_members(size)
    listed = _parse_instances(size)
    return lambda: members.adopt(listed)


@register_cpu_case("check a configuration document", "workspace", WORKSPACE_COUNTS)
def prepare_document_check(size: int) -> Callable[[], object]:
    """Prepare the validation of a published or fetched document."""
    raw = make_large_document(size)
    return lambda: check_document(raw)


@register_cpu_case("encode a configuration document", "workspace", WORKSPACE_COUNTS)
def prepare_document_encoding(size: int) -> Callable[[], object]:
    """Prepare the canonical encoding of a configuration version."""
    configuration = make_large_configuration(size)
    return lambda: encode_document(configuration)


@register_cpu_case("index a configuration", "workspace", WORKSPACE_COUNTS)
def prepare_index(size: int) -> Callable[[], object]:
    """Prepare the indexing of a configuration version."""
    configuration = make_large_configuration(size)
    return lambda: make_index(configuration)


@register_cpu_case("find a workspace by key", "workspace", (425, 3400))
def prepare_key_lookup(size: int) -> Callable[[], object]:
    """Prepare the lookup of a workspace by API key, which authenticates a caller."""
    index = make_index(make_large_configuration(size))
    return lambda: index.workspace_by_key("17/a")


@register_cpu_case("span that is not sampled", "", (1,))
def prepare_span(size: int) -> Callable[[], object]:
    """Prepare the creation of a trace span that is not sampled."""
    return lambda: start_span("router.request", "", rank="urgent")
