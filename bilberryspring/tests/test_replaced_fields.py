"""No field allows more once its value is empty or of another type.

Guards against readers of documents that take such a value for a missing one. A new
reader is added to the registry by the decorator, with sound documents and a function
that tells what a document allows.
"""

import base64
import copy
import json
import math
import tempfile
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

import pytest

from bilberryspring.capability.instance_list import InstanceState
from bilberryspring.capability.store import KeyRange, KeyValue, TransactionResult
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.cold_messages import ColdReport
from bilberryspring.connection.http_caller import HttpRequest
from bilberryspring.connection.limit_messages import LimitReport
from bilberryspring.connection.load_messages import (
    LoadMessage,
    LoadSample,
    NameHash,
    WorkspaceUsage,
    decode_load_message,
    encode_load_message,
    hash_name,
)
from bilberryspring.connection.router_reports import (
    RouterReport,
    decode_report,
    encode_report,
)
from bilberryspring.identifiers import (
    AvailabilityZone,
    ConfigVersion,
    InstanceId,
    Region,
    StoreEpoch,
)
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error
from bilberryspring.platform.caller_requests import decode_request
from bilberryspring.platform.document_decoders import (
    decode_routing_table,
    decode_server,
)
from bilberryspring.platform.evacuation_watcher import EvacuationWatcher
from bilberryspring.platform.instances import parse_instance_list
from bilberryspring.platform.keyvalue_messages import (
    decode_transaction,
    parse_history_id,
)
from bilberryspring.platform.metadata_messages import (
    StoreListing,
    decode_changes,
    decode_item,
    decode_page,
    decode_response,
    parse_body,
)
from bilberryspring.platform.settings_file import load_machine_settings
from bilberryspring.platform.tests.platform_standin import CONFIGURATION, ServerStandin
from bilberryspring.process.cold_servers import ColdServers
from bilberryspring.process.load_table import LoadTable
from bilberryspring.process.operator_authentication import authenticate_operator
from bilberryspring.process.remote_usage import RemoteUsage
from bilberryspring.process.server_limits import make_server_limits
from bilberryspring.process.settings import (
    AgentSettings,
    RouterSettings,
    load_settings,
)
from bilberryspring.process.zone_evacuations import make_zone_evacuations
from bilberryspring.request.caller_requests import (
    CallerRequest,
    find_workspace,
    resolve_chat,
    resolve_service,
)
from bilberryspring.request.claim_protocol import (
    ClaimAttempt,
    ClaimHeld,
    ClaimReleased,
    interpret_claim_result,
)
from bilberryspring.request.claim_values import encode_claim_value, make_claimed_value
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.delta import decode_delta
from bilberryspring.version.document import check_document
from bilberryspring.version.index import digest_key, make_index
from bilberryspring.version.record import decode_head, decode_version_record
from bilberryspring.version.updates import decode_announcement, decode_update

POSITION = StorePosition(StoreEpoch(1), 9)
# Replaces a value by one that is empty or of another type.
ODD_VALUES = (
    None,
    "",
    [],
    {},
    0,
    False,
    True,
    -1,
    0.5,
    "x",
    [None],
    [""],
    [{}],
    {"x": None},
)

ODD_NUMBERS = (math.nan, math.inf, -math.inf, -1.0)

# What a document allows, by name: the larger the number, the more.
Allowances = Mapping[Any, float]
Path = tuple[str | int, ...]


@dataclass(frozen=True)
class Reader:
    """A reader of documents.

    :ivar documents: sound documents.
    :ivar list_allowances: returns what a document allows, or why it is refused.
    :ivar stated_values: values of fields that are no slips but other statements, which
        may allow more.
    :ivar is_message: whether a schema fixes the types, so that only numbers can be odd.
    """

    documents: tuple[Any, ...]
    list_allowances: Callable[[Any], Allowances | Failure]
    stated_values: Mapping[str, tuple[Any, ...]]
    is_message: bool


READERS: dict[str, Reader] = {}


def register_reader(*documents, is_message=False, **stated_values):
    def register(list_allowances):
        name = list_allowances.__name__.removeprefix("list_allowances_of_")
        reader = Reader(documents, list_allowances, stated_values, is_message)
        READERS[name] = reader
        return list_allowances

    return register


def to_json(document):
    return json.dumps(document).encode()


def list_paths(document: Any) -> Iterator[Path]:
    """Return the path of each value within a document."""
    if isinstance(document, dict | list):
        members = (
            document.items() if isinstance(document, dict) else enumerate(document)
        )
        for name, value in members:
            yield (name,)
            yield from ((name, *path) for path in list_paths(value))


def get_value(document: Any, path: Path) -> Any:
    for name in path:
        document = document[name]
    return document


def replace_value(document: Any, path: Path, value: Any) -> Any:
    document = copy.deepcopy(document)
    get_value(document, path[:-1])[path[-1]] = copy.deepcopy(value)
    return document


def find_field(path: Path) -> str:
    return next(name for name in reversed(path) if isinstance(name, str))


def is_odd(value: Any, odd: Any, stated_values: tuple[Any, ...]) -> bool:
    """Return whether a value can't stand where another one does."""
    for sound in (value, *stated_values):
        # False equals zero and True equals one.
        if type(odd) is type(sound) and odd == sound:
            return False
    is_same_type = type(odd) is type(value)
    # Another text, number or flag is another statement; a list may hold anything.
    return not (is_same_type and isinstance(value, str | bool) and odd != "")


def list_odd_documents(reader: Reader) -> Iterator[tuple[Any, Path, Any, Any]]:
    for document in reader.documents:
        for path in list_paths(document):
            stated_values = reader.stated_values.get(find_field(path), ())
            if isinstance(path[-1], int):
                stated_values = ()
            value = get_value(document, path)
            if reader.is_message and not isinstance(value, float):
                continue
            for odd in ODD_NUMBERS if reader.is_message else ODD_VALUES:
                if is_odd(value, odd, stated_values):
                    yield document, path, odd, replace_value(document, path, odd)


def make_configuration():
    """Return a configuration that uses every field which a router reads."""
    document = copy.deepcopy(CONFIGURATION)
    orders, drafts, open_route = document["routes"]
    orders["public"] = False
    orders["allowedRegions"] = ["north"]
    drafts["split"] = [
        {"service": "desk", "weight": 1},
        {"service": "engines", "weight": 2},
    ]
    # A split takes precedence over a service.
    drafts["service"] = "other"
    open_route["timeoutMs"] = 2000
    engine = {"slots": 8, "kvTokens": 9000, "stride": 9, "moves": False}
    document["services"] += [
        {"name": "engines", "maxConns": 10, "engine": engine},
        {"name": "cold", "maxConns": 10, "coldStartS": 3.0, "coldPerS": 13.0},
        {"name": "other", "maxConns": 10},
    ]
    document["tenants"].append(
        {"name": "south", "apiKeys": ["k3"], "allowedRegions": ["north", "south"]}
    )
    return document


@register_reader(
    make_configuration(),
    {**make_configuration(), "tenants": []},
    priority=(0, -1),
)
def list_allowances_of_configurations(document):
    """Return which requests may go where, and the limits on them."""
    table = decode_routing_table(to_json(document), POSITION)
    if isinstance(table, Failure):
        return table
    limits = table.limits
    allowances = {
        "header bytes": limits.max_header_bytes,
        "body bytes": limits.max_body_bytes,
        "header time": limits.header_timeout_s,
        "idle time": limits.idle_timeout_s,
    }
    for pool in table.pools.values():
        allowances[pool.name, "connections"] = pool.max_connections
        allowances[pool.name, "cold rate"] = pool.cold_per_s or math.inf
        if pool.engine is None:
            allowances[pool.name, "no engine"] = 1
        else:
            allowances[pool.name, "slots"] = pool.engine.slots
            allowances[pool.name, "tokens"] = pool.engine.cache_tokens
            allowances[pool.name, "fetches"] = pool.engine.can_fetch
    paths = ("/orders/x", "/drafts/x", "/open/x", "/other/x", "/")
    for host in ("a.example", "", "other.example"):
        for path in paths:
            for key in ("k1", "k2", "k3", "unknown", "", None):
                for what, measure in list_requests(table, host, path, key):
                    allowances[host, path, key, *what] = measure
    return allowances


def list_requests(table, host, path, key):
    """Return where a request may go and for how long, if it is served at all."""
    headers = [(b"Host", host.encode()), (b"Attempt-Id", b"a")]
    if key is not None:
        headers.append((b"Authorization", b"Bearer " + key.encode()))
    request = HttpRequest("POST", path.encode(), headers, b"", 0.0)
    incoming = decode_request(request, table)
    if isinstance(incoming, Failure):
        return
    route = incoming.route
    yield ("workspace", incoming.workspace), 1
    yield ("seconds",), route.timeout_s
    yield ("servers",), route.max_servers
    yield ("repeated",), route.is_repeatable
    yield ("urgency",), -incoming.rank_order
    for name, weight in route.pools:
        for region in (Region("north"), Region("south"), None):
            is_allowed = name in table.pools and incoming.allows_region(region)
            yield ("pool", name, region), bool(weight and is_allowed)


ENTRY = {
    **ServerStandin().make_entry(),
    "address": "127.0.0.1:80",
    "seq": 7,
    "born": 1_700_000_000_000,
    "coldRemainingMs": 3000,
}


@register_reader(ENTRY, {**ENTRY, "state": "draining"}, coldRemainingMs=(0, 0.5))
def list_allowances_of_server_entries(entry):
    """Return which requests the server of an entry may get."""
    server = decode_server("s1", to_json(entry))
    if isinstance(server, Failure):
        return server
    name = server.pool, server.availability_zone, server.host, server.port
    return {
        (*name, "slots"): server.slots,
        (*name, "new requests"): server.is_ready,
        (*name, "warmth"): -(server.cold_remaining_s or 0.0),
        # Evidence that the server came back after it had left.
        (*name, "start"): server.started_at_ms,
        (*name, "report"): server.report_number,
    }


def make_item(zone, revision, **fields):
    item = {"key": f"op/evacuate/{zone}", "revision": revision, "value": "e30="}
    return {**item, **fields}


def list_allowed_zones(body, decode, apply):
    """Return which zones get requests after a response to an evacuation's watcher."""
    evacuations = make_zone_evacuations(count_servers=lambda zone: 1)
    watcher = EvacuationWatcher(None, evacuations)
    items = [make_item("z1", 2), make_item("z2", 3)]
    for item in items:
        watcher._apply_change(decode_item(item, POSITION.epoch))
    response = decode_response(200, to_json(body), POSITION.epoch)
    decoded = parse_body(response, decode)
    if isinstance(decoded, Failure):
        return decoded
    apply(watcher, decoded)
    zones = [AvailabilityZone(name) for name in ("z1", "z2", "z3")]
    return {zone: not evacuations.is_evacuated(zone) for zone in zones}


@register_reader(
    {
        "items": [make_item("z1", 2), make_item("z2", 3)],
        "truncated": False,
        "currentRev": 9,
    },
    items=([],),
)
def list_allowances_of_store_pages(body):
    def apply(watcher, page):
        items, position, is_truncated = page
        if not is_truncated:
            watcher._apply_listing(StoreListing(items, position))

    return list_allowed_zones(
        body, lambda page: decode_page(page, POSITION.epoch), apply
    )


@register_reader(
    {
        "events": [make_item("z1", 5, tombstone=False), make_item("z3", 6)],
        "currentRev": 9,
    },
    events=([],),
)
def list_allowances_of_store_changes(body):
    def apply(watcher, changes):
        for item in changes.items:
            watcher._apply_change(item)

    return list_allowed_zones(
        body, lambda changes: decode_changes(changes, POSITION), apply
    )


SETTINGS = {
    "node": "front-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "internalPorts": [7340, 7355],
    "seeds": ["127.0.0.1:8229"],
    "zones": {"a": "north", "b": "south"},
    "listen": {
        "front": "127.0.0.1:8227",
        "ready": "127.0.0.1:8220",
        "control": "127.0.0.1:8229",
    },
    "limits": {"linkMbps": 100.0, "memoryMb": 300, "maxFds": 4100},
    "bounds": {
        "drainMs": 1000,
        "graceS": 4,
        "retryBudgetRatio": 0.1,
        "budgetExtra": 58,
        "budgetWindowS": 20,
        "capFactor": 1.5,
        "coldOverage": 1.5,
        "coldSlack": 5,
    },
    "platform": {"address": "127.0.0.1:8223"},
}


def to_toml(value):
    """Encode a value, as a table within a line; an empty text stands for null."""
    if isinstance(value, dict):
        members = [f"{name} = {to_toml(member)}" for name, member in value.items()]
        return "{" + ", ".join(members) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(to_toml, value)) + "]"
    return json.dumps("" if value is None else value)


@register_reader(SETTINGS, retryBudgetRatio=(0.5,), budgetWindowS=(0.5,))
def list_allowances_of_platform_settings(document):
    text = "\n".join(f"{name} = {to_toml(value)}" for name, value in document.items())
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        settings = load_machine_settings(file.name)
    if isinstance(settings, Failure):
        return settings
    return {
        "descriptors": settings.max_descriptors or math.inf,
        "memory": settings.memory_mib or math.inf,
        "bandwidth": settings.link_mbps,
        "retry ratio": settings.retry_ratio,
        "retries": settings.retry_extra / settings.retry_window_s,
        "load": settings.load_factor,
        "cold requests": settings.cold_overage,
        "cold slack": settings.cold_slack,
        "requests after a leaving": settings.leaving_s,
        "time to stop": settings.stop_s,
        **{("zone in", *pair): 1 for pair in settings.regions.items()},
    }


INSTANCES = [
    {
        "instance_id": f"{role}-1",
        "role": role,
        "pool": pool,
        "availability_zone": "a",
        "region": "north",
        "address": "127.0.0.1:7000",
        "state": state,
        "weight": 0.75,
    }
    for role, pool, state in (
        ("agent", "engines", "live"),
        ("router", "", "leaving"),
    )
]


@register_reader(
    {"revision": 3, "instances": INSTANCES},
)
def list_allowances_of_instance_lists(document):
    """Return which instances may get which share of the requests."""
    instance_list = parse_instance_list(document)
    if isinstance(instance_list, Failure):
        return instance_list
    allowances = {"revision": instance_list.revision}
    for each in instance_list.instances:
        is_live = each.state is InstanceState.LIVE
        place = each.pool, each.availability_zone, each.region, each.address
        allowances[each.instance_id, each.role, *place, "new work"] = is_live
        allowances[each.instance_id, "weight"] = each.weight
    return allowances


CLAIM = make_claimed_value(b"token", InstanceId("agent-1"), "a" * 32, 10**6)
OTHER_CLAIM = make_claimed_value(b"other", InstanceId("agent-2"), "a" * 32, 10**6)
CLAIMED_ITEM = {
    "key": "aw==",
    "value": base64.b64encode(encode_claim_value(OTHER_CLAIM)).decode(),
    "create_revision": "1",
    "mod_revision": "2",
    "version": "1",
    "lease": "0",
}


@register_reader(
    {
        "header": {"cluster_id": "7", "revision": "9"},
        "succeeded": False,
        "responses": [{"response_range": {"kvs": [CLAIMED_ITEM], "more": False}}],
    },
    cluster_id=(-1,),
)
def list_allowances_of_transaction_replies(reply):
    """Return whether a request may run whose claim has this result."""
    try:
        result, history_id = decode_transaction(reply), parse_history_id(reply)
    except MALFORMED_ERRORS as error:
        return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, describe_error(error))
    allowances = {"reply of another history": history_id != "7"}
    if len(result.responses) == 1:
        attempt = ClaimAttempt("k", CLAIM)
        claim = interpret_claim_result(attempt, result, now_s=999.0)
        allowances["run"] = isinstance(claim, ClaimHeld)
    return allowances


@register_reader(
    {
        "state": "claimed",
        "token": "other",
        "holder": "agent-2",
        "digest": "a" * 32,
        "deadline_ms": 10**6,
    },
    {
        "state": "recorded",
        "token": "",
        "digest": "a" * 32,
        "status": 200,
        "body": "YQ==",
    },
)
def list_allowances_of_stored_claims(claim):
    """Return whether another request with the same key may run."""
    attempt = ClaimAttempt("k", CLAIM)
    item = KeyValue("k", to_json(claim), 1, 2, 1)
    result = TransactionResult(False, (KeyRange((item,), 9),), 9)
    claim = interpret_claim_result(attempt, result, now_s=999.0)
    return {"run": isinstance(claim, ClaimHeld | ClaimReleased)}


PUBLISHED = {
    "pools": [
        {
            "name": "engines",
            "kind": "engine",
            "load_bound": 1.1,
            "load_floor": 1.0,
            "max_running": 4,
            "checks_fencing": True,
            "placement_policy": "least_loaded",
        },
        {"name": "desk", "kind": "service"},
    ],
    "models": [{"name": "m", "pool": "engines", "max_context_tokens": 100}],
    "adapters": [{"name": "a", "model": "m"}],
    "workspaces": [
        {
            "name": "ward",
            "key_digests": [digest_key("k1")],
            "weight": 0.75,
            "routes": ["chat"],
            "max_queued": 4,
        }
    ],
    "work_ranks": [
        {"name": "urgent", "order": 1, "minimum_share": 0.25, "target_wait_s": 1.0}
    ],
    "routes": [
        {
            "name": "chat",
            "pool": "engines",
            "model": "m",
            "work_rank": "urgent",
            "idempotent": False,
            "deadline_s": 2.0,
        },
        {
            "name": "orders",
            "pool": "desk",
            "work_rank": "urgent",
            "idempotent": False,
            "methods": ["PUT"],
            "deadline_s": 2.0,
            "require_idempotency_key": True,
        },
    ],
}


# An empty section is named by the references to its objects.
@register_reader(PUBLISHED, pools=([],), models=([],), work_ranks=([],))
def list_allowances_of_published_configurations(document):
    """Return which keys may use which routes, with which limits."""
    checked = check_document(to_json(document))
    if isinstance(checked, list):
        reason = "; ".join(f"{fault.path}: {fault.message}" for fault in checked)
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    index = make_index(checked)
    allowances = {}
    for pool in checked.pools:
        name = pool.name, pool.kind, pool.placement_policy
        allowances[*name, "load"] = pool.load_bound
        allowances[*name, "floor"] = pool.load_floor
        allowances[*name, "running"] = pool.max_running
        allowances[*name, "no fencing"] = not pool.checks_fencing
    for model in checked.models:
        allowances[model.name, model.pool, "tokens"] = model.max_context_tokens
    for key in ("k1", "", "unknown"):
        request = CallerRequest("", "", "", {"authorization": f"Bearer {key}"}, b"")
        workspace = find_workspace(index, request)
        if isinstance(workspace, Failure):
            continue
        allowances[key, workspace.name, "weight"] = workspace.weight
        allowances[key, workspace.name, "queued"] = workspace.max_queued
        for name, opened in list_opened_requests(index, workspace, request):
            if not isinstance(opened, Failure):
                name = key, *name, opened.pool, opened.route, opened.rank, opened.model
                allowances[name] = 1
                allowances[*name, "repeated"] = opened.idempotent
                deadline_s = index.routes[opened.route].deadline_s
                allowances[*name, "seconds"] = deadline_s
    return allowances


def list_opened_requests(index, workspace, request):
    """Return what agents would get of requests to each model and service."""
    for model in ("chat", "m", "a", "orders", ""):
        for size in (10, 1000):
            messages = [{"role": "user", "content": "x" * size}]
            request.body = to_json({"model": model, "messages": messages})
            chat = resolve_chat(index, workspace, request)
            opened = chat if isinstance(chat, Failure) else chat.open_message
            yield ("chat", model, size), opened
    for method in ("PUT", "POST", "DELETE"):
        for key in ("", "0123456789abcdef"):
            request.method, request.body = method, b""
            request.headers["idempotency-key"] = key
            for route in ("orders", "chat"):
                opened = resolve_service(index, workspace, route, "x", request)
                yield (method, route, key), opened


PROCESS_SETTINGS = {
    "instance_id": "node-1",
    "availability_zone": "a",
    "region": "north",
    "fleet_secret": "0123456789abcdef",
    "key_value_addresses": ["127.0.0.1:2379"],
    "instance_list_address": "127.0.0.1:7001",
    "peer_address": "127.0.0.1:7002",
    "administration_address": "127.0.0.1:7003",
    "key_value_timeout_s": 0.75,
    "ping_timeout_s": 0.75,
    "connect_timeout_s": 0.75,
    "idle_connection_s": 0.75,
    "drain_timeout_s": 0.75,
}
ROUTER_SETTINGS = {
    **PROCESS_SETTINGS,
    "caller_address": "127.0.0.1:7004",
    "operator_key_digests": {"ayse": digest_key("k1")},
    "max_body_bytes": 100,
    "retry_ratio": 0.75,
    "max_attempts": 2,
    "drain_notice_s": 0.75,
    "memory_mb": 300,
    "max_descriptors": 400,
}
AGENT_SETTINGS = {
    **PROCESS_SETTINGS,
    "pool": "engines",
    "backend_address": "127.0.0.1:7005",
    "retained_answers_bytes": 100,
    "retained_answer_s": 0.75,
    "window_chunks": 2,
    "claim_retention_s": 10.0,
    "max_direct_claim_agents": 2,
    "max_claimed_call_s": 0.75,
}


def list_allowances_of_settings(document, model):
    """Return the limits of a process, and which operators' keys it accepts."""
    with tempfile.NamedTemporaryFile("wb", suffix=".json") as file:
        file.write(to_json(document))
        file.flush()
        settings = load_settings(file.name, model)
    if isinstance(settings, Failure):
        return settings
    allowances = {
        name: value
        for name, value in settings.model_dump().items()
        if name in document and not isinstance(value, str | list | dict)
    }
    for name in ("memory_mb", "max_descriptors"):
        if name in allowances:
            allowances[name] = allowances[name] or math.inf
    # A short retention of claims lets a key run again.
    if "claim_retention_s" in allowances:
        allowances["claim_retention_s"] *= -1
    for key in ("k1", "", "unknown"):
        digests = getattr(settings, "operator_key_digests", {})
        operator = authenticate_operator(digests, f"Bearer {key}")
        if operator is not None:
            allowances[key, operator, "operator"] = 1
    return allowances


@register_reader(ROUTER_SETTINGS)
def list_allowances_of_router_settings(document):
    return list_allowances_of_settings(document, RouterSettings)


@register_reader(AGENT_SETTINGS, claim_retention_s=(0.5,))
def list_allowances_of_agent_settings(document):
    return list_allowances_of_settings(document, AgentSettings)


def list_adopted_versions(decoded):
    """Return which version a record makes a process adopt."""
    return decoded if isinstance(decoded, Failure) else {decoded: 1}


@register_reader({"version": 3, "digest": "d"}, version=(0,))
def list_allowances_of_heads(members):
    return list_adopted_versions(decode_head(to_json(members)))


@register_reader({"version": 3, "digest": "d"}, version=(0,))
def list_allowances_of_version_records(members):
    return list_adopted_versions(decode_version_record(to_json(members) + b"\nx"))


@register_reader({"version": 3, "history": "7"}, version=(0,))
def list_allowances_of_announcements(members):
    return list_adopted_versions(decode_announcement(to_json(members) + b"\n{}"))


@register_reader({"version": 3, "digest": "d", "deltas": 2}, version=(0,), deltas=(0,))
def list_allowances_of_updates(members):
    return list_adopted_versions(decode_update(to_json(members) + b"\n{}\n{}"))


@register_reader(
    {
        "base_version": 2,
        "version": 3,
        "base_digest": "c",
        "digest": "d",
        "sections": {"pools": {"changed": PUBLISHED["pools"], "removed": ["old"]}},
    },
    base_version=(0,),
    version=(0,),
    load_floor=(0, 0.5),
    # The digest covers the objects as they are after the change.
    placement_policy=(None,),
)
def list_allowances_of_deltas(document):
    delta = decode_delta(to_json(document))
    if isinstance(delta, Failure):
        return delta
    allowances = {(delta.base_version, delta.version, delta.digest): 1}
    for section, change in delta.sections.items():
        for item in change.changed:
            allowances[section, item.model_dump_json()] = 1
        for name in change.removed:
            allowances[section, name] = 1
    return allowances


@register_reader(
    {
        "load": 5.0,
        "drainRate": 1.0,
        "costPerSecond": 3.0,
    },
    is_message=True,
)
def list_allowances_of_load_messages(fields):
    """Return how idle an agent and its workspace seem; the most is zero."""
    agent, workspace = hash_name("agent-1"), hash_name("ward")
    sample = LoadSample(agent, fields["load"], fields["drainRate"], 0)
    usage = WorkspaceUsage(workspace, fields["costPerSecond"])
    message = decode_load_message(
        encode_load_message(
            LoadMessage(hash_name("engines"), ConfigVersion(3), (sample,), (usage,))
        )
    )
    if isinstance(message, Failure):
        return message
    table, remote_usage = LoadTable(), RemoteUsage()
    table.merge(message.samples[0], now_s=10.0)
    remote_usage.receive(InstanceId("agent-1"), message.usage, now_s=10.0)
    known = table.find(agent)
    return {
        "idle": -known.compute_lower_bound(10.0, 0.4),
        "idle later": -known.compute_lower_bound(10.9, 0.4),
        "unused share": -remote_usage.estimate(1, 10.0)[workspace],
    }


@register_reader({"limit": 3.0, "cold": 3.0}, is_message=True)
def list_allowances_of_router_reports(fields):
    """Return the rates of a server that limits them and of one that is cold."""
    limit = LimitReport(NameHash(1), 5, fields["limit"], 0.2, 0.1, 9)
    cold = ColdReport(NameHash(2), 5, fields["cold"], 3.0, 0.1)
    report = RouterReport("front-1", 1, 1, 1, 2, (), limits=(limit,))
    report = decode_report(encode_report(replace(report, cold_servers=(cold,))))
    if isinstance(report, Failure):
        return report
    limits, cold_servers = make_server_limits(lambda: 99.0), ColdServers(lambda: 99.0)
    limits.merge(report.limits, "front-1")
    cold_servers.merge(report.cold_servers, "front-1")
    return {
        "limited": limits.find_rate_by_key(NameHash(1), 5) or math.inf,
        "cold": cold_servers.find_rate_by_key(NameHash(2), 5) or math.inf,
    }


@pytest.mark.parametrize("name", READERS)
def test_sound_documents_are_read(name):
    reader = READERS[name]
    for document in reader.documents:
        allowances = reader.list_allowances(document)
        assert not isinstance(allowances, Failure) and allowances


@pytest.mark.parametrize("name", READERS)
def test_replaced_field_allows_nothing_that_the_document_did_not(name):
    reader = READERS[name]
    faults, count = [], 0
    for document, path, odd, odd_document in list_odd_documents(reader):
        count += 1
        allowances = reader.list_allowances(odd_document)
        if isinstance(allowances, Failure):
            if find_field(path) not in allowances.reason:
                faults.append((path, odd, f"not named: {allowances.reason}"))
            continue
        former = reader.list_allowances(document)
        faults += [
            (path, odd, f"allowed: {what}: {former.get(what)} -> {measure}")
            for what, measure in allowances.items()
            if not measure <= former.get(what, float("-inf"))
        ]
    assert count >= 8
    assert not faults, "\n".join(map(repr, faults))
