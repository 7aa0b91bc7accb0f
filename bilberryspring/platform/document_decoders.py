"""Decoders of the operator's configuration and of backend server entries."""

import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from bilberryspring.capability.routing import (
    BackendServer,
    CallerLimits,
    DirectRoute,
    EngineLimits,
    ExecutionRule,
    PoolLimits,
    RoutingTable,
    WorkspaceKey,
    make_routing_table,
)
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.cold_messages import MAX_COLD_S
from bilberryspring.identifiers import (
    AvailabilityZone,
    InstanceId,
    PoolName,
    Region,
    RouteName,
    WorkspaceName,
)
from bilberryspring.malformed_input import (
    MALFORMED_ERRORS,
    describe_error,
    parse_json,
    require_finite,
    require_int,
    require_text,
)
from bilberryspring.process.addresses import is_unicast_ip, split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["decode_routing_table", "decode_server"]

T = TypeVar("T")

_EXECUTION_RULES = {
    "safe": ExecutionRule.REPEATABLE,
    "unsafe": ExecutionRule.ONCE,
    "streaming": ExecutionRule.STREAM,
}
_READINESS_BY_STATE = {"ready": True, "draining": False}
_LIMIT_FIELDS = {"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"}
DEFAULT_ROUTE_TIMEOUT_MS = 30_000.0
DEFAULT_MAX_CONNECTIONS = 100
LEAST_URGENT_RANK = 9
MAX_SERVER_ENTRY_BYTES = 64 * 1024
MAX_SLOTS = 2**31 - 1
# Larger integers have no exact floating-point number.
MAX_INTEGER = 2**53
MAX_REPORT_NUMBER = 2**32 - 1
MAX_COLD_START_S = MAX_COLD_S
MAX_COLD_PER_S = 1e6


def decode_routing_table(
    value: bytes, position: StorePosition
) -> RoutingTable | Failure:
    """Decode a configuration document.

    :param value: JSON document of the operator, as bytes.
    :param position: position in the store's history at which it was written.
    :returns: the routing table, or a failure if any part of the document is malformed.
    """
    try:
        document = _require_object(parse_json(value), "configuration")
        return make_routing_table(
            version=_read_integer(document, "version"),
            position=position,
            routes=_decode_each(document, "routes", _decode_route),
            pools=_decode_each(document, "services", _decode_pool),
            keys=_decode_workspace_keys(document),
            limits=_decode_object(document, "limits", _decode_limits) or CallerLimits(),
        )
    except MALFORMED_ERRORS as error:
        reason = f"malformed configuration: {describe_error(error)}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)


def _decode_limits(limits: Mapping) -> CallerLimits:
    if not _LIMIT_FIELDS & limits.keys():
        raise ValueError(f"must have one of {', '.join(sorted(_LIMIT_FIELDS))}")
    return CallerLimits(
        max_header_bytes=_read_integer(limits, "maxHeaderBytes", 16_384),
        max_body_bytes=_read_integer(limits, "maxBodyBytes", 4_194_304),
        header_timeout_s=_read_number(limits, "headerTimeoutMs", 10_000) / 1000,
        idle_timeout_s=_read_number(limits, "idleTimeoutMs", 60_000) / 1000,
    )


def _decode_route(route: Mapping) -> DirectRoute:
    timeout_ms = _read_positive(route, "timeoutMs", DEFAULT_ROUTE_TIMEOUT_MS)
    return DirectRoute(
        name=RouteName(_require_text(route, "name")),
        host=_require_text(route, "host"),
        path_prefix=_read_prefix(route),
        rule=_require_choice(route, "kind", _EXECUTION_RULES),
        pools=_read_pools(route),
        max_servers=max(1, _read_integer(route, "attempts", 1, -MAX_INTEGER)),
        timeout_s=timeout_ms / 1000,
        target_s=(_read_number(route, "goalMs", 0) or timeout_ms) / 1000,
        pause_target_s=_read_number(route, "gapGoalMs", 0) / 1000,
        rank_order=_read_rank(route),
        is_public=_read_flag(route, "public"),
        is_resumable=_read_flag(route, "resumable"),
        allowed_regions=_read_regions(route),
    )


def _read_prefix(route: Mapping) -> str:
    prefix = _require_text(route, "prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError("prefix must begin and end with a slash")
    return prefix


def _read_pools(route: Mapping) -> tuple[tuple[PoolName, float], ...]:
    """Return the pools of a route with their weights.

    A split states where requests may go, so an odd one does not give way to the
    route's only service.
    """
    if "split" not in route:
        return ((PoolName(_require_text(route, "service")), 1.0),)
    pools = _decode_each(
        route,
        "split",
        lambda target: (
            PoolName(_require_text(target, "service")),
            _read_number(target, "weight"),
        ),
    )
    if not pools:
        raise ValueError("split must be a list that is not empty")
    return tuple(pools)


def _read_regions(document: Mapping) -> frozenset[Region] | None:
    """Return the regions that a document allows, ``None`` if it does not state any.

    An empty list states that no region is allowed.
    """
    if "allowedRegions" not in document:
        return None
    names = document["allowedRegions"]
    if not isinstance(names, list) or not all(
        isinstance(name, str) and name for name in names
    ):
        raise ValueError("allowedRegions must be a list of names")
    return frozenset(Region(name) for name in names)


def _read_rank(document: Mapping) -> int:
    priority = _read_integer(document, "priority", LEAST_URGENT_RANK, -MAX_INTEGER)
    return min(max(priority, 0), LEAST_URGENT_RANK)


def _decode_pool(service: Mapping) -> PoolLimits:
    cold_start_s, cold_per_s, cold_problem = _read_cold_figures(service)
    return PoolLimits(
        name=PoolName(_require_text(service, "name")),
        max_connections=_read_integer(service, "maxConns", DEFAULT_MAX_CONNECTIONS, 1),
        engine=_decode_object(service, "engine", _decode_engine),
        cold_start_s=cold_start_s,
        cold_per_s=cold_per_s,
        cold_problem=cold_problem,
    )


def _decode_engine(engine: Mapping) -> EngineLimits:
    return EngineLimits(
        slots=_read_integer(engine, "slots", lowest=1),
        cache_tokens=_read_integer(engine, "kvTokens", lowest=1),
        # Number of tokens in one event of a stream.
        chunk_tokens=max(1, _read_integer(engine, "stride", 1, -MAX_INTEGER)),
        can_fetch=_read_flag(engine, "moves"),
    )


def _read_cold_figures(service: Mapping) -> tuple[float, float, str]:
    """Return the cold time and rate of a service, and what is odd about them."""
    cold_start_s = _read_number(service, "coldStartS", 0, MAX_COLD_START_S)
    cold_per_s = _read_number(service, "coldPerS", 0, MAX_COLD_PER_S)
    if not cold_start_s or cold_per_s:
        return cold_start_s, cold_per_s, ""
    if "coldPerS" in service:
        raise ValueError("coldPerS must be above zero where coldStartS is")
    return cold_start_s, cold_per_s, "a cold time without a rate"


def _decode_workspace_keys(document: Mapping) -> dict[str, WorkspaceKey] | None:
    """Return the workspaces by key, ``None`` if the document does not state any.

    An empty list states that no key is valid, not that callers need none.
    """
    if "tenants" not in document:
        return None
    return {
        key: workspace_key
        for workspace_keys in _decode_each(document, "tenants", _decode_tenant)
        for key, workspace_key in workspace_keys.items()
    }


def _decode_tenant(tenant: Mapping) -> dict[str, WorkspaceKey]:
    workspace_key = WorkspaceKey(
        WorkspaceName(_require_text(tenant, "name")),
        _read_rank(tenant) if "priority" in tenant else None,
        _read_regions(tenant),
    )
    keys = _require_list(tenant, "apiKeys") if "apiKeys" in tenant else []
    # A request without a key would present an empty one.
    if not all(isinstance(key, str) and key for key in keys):
        raise ValueError("apiKeys must hold strings that are not empty")
    return dict.fromkeys(keys, workspace_key)


def decode_server(server_id: str, value: bytes) -> BackendServer | Failure:
    """Decode the store entry of a backend server.

    :param server_id: last part of the entry's key; the entry itself does not contain
        the id.
    :param value: JSON document of the entry, as bytes; not necessarily written by the
        server.
    :returns: the server, or a failure if the entry is malformed.
    """
    try:
        # An id that cannot be encoded has no hash.
        server_id.encode()
        entry = _require_object(parse_json(value, MAX_SERVER_ENTRY_BYTES), "entry")
        host, port = split_address(_require_text(entry, "address"))
        if not port or not is_unicast_ip(host):
            raise ValueError("address must be an IP address and a port")
        return BackendServer(
            server_id=InstanceId(server_id),
            pool=PoolName(_require_text(entry, "service")),
            host=host,
            port=port,
            availability_zone=AvailabilityZone(_require_text(entry, "zone")),
            slots=require_int(entry["slots"], "slots", 1, MAX_SLOTS),
            is_ready=_require_choice(entry, "state", _READINESS_BY_STATE),
            started_at_ms=require_int(entry.get("born", 0), "born", 0, MAX_INTEGER),
            report_number=require_int(entry.get("seq", 0), "seq", 0, MAX_REPORT_NUMBER),
            cold_remaining_s=_read_cold_remaining_s(entry),
        )
    except MALFORMED_ERRORS as error:
        reason = (
            f"malformed entry of server {ascii(server_id)}: {describe_error(error)}"
        )
        return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)


def _read_cold_remaining_s(entry: Mapping) -> float | None:
    if "coldRemainingMs" not in entry:
        return None
    return _read_number(entry, "coldRemainingMs") / 1000


def _require_object(value: Any, name: str) -> Mapping:
    if not isinstance(value, dict):
        raise ValueError(f"{name} must be an object")
    return value


def _decode_object(
    document: Mapping, name: str, decode: Callable[[Mapping], T]
) -> T | None:
    """Decode an object, ``None`` if the document has no such field.

    :raises ValueError: if it is malformed; the message has its name.
    """
    if name not in document:
        return None
    try:
        return decode(_require_object(document[name], name))
    except MALFORMED_ERRORS as error:
        raise ValueError(f"{name}: {describe_error(error)}") from error


def _decode_each(
    document: Mapping, name: str, decode: Callable[[Mapping], T]
) -> list[T]:
    """Decode the objects of a list.

    :raises ValueError: if one of them is malformed; the message has its position.
    """
    decoded = []
    for position, item in enumerate(_require_list(document, name)):
        path = f"{name}[{position}]"
        try:
            decoded.append(decode(_require_object(item, path)))
        except MALFORMED_ERRORS as error:
            raise ValueError(f"{path}: {describe_error(error)}") from error
    return decoded


def _require_text(document: Mapping, name: str) -> str:
    return require_text(document[name], name)


def _require_choice(document: Mapping, name: str, choices: Mapping[str, T]) -> T:
    value = _require_text(document, name)
    if value not in choices:
        raise ValueError(f"{name} must be one of {', '.join(choices)}")
    return choices[value]


def _require_list(document: Mapping, name: str) -> list[Any]:
    value = document[name]
    if not isinstance(value, list):
        raise ValueError(f"{name} must be a list")
    return value


def _read_number(
    document: Mapping,
    name: str,
    default: float | None = None,
    highest: float = math.inf,
) -> float:
    """Return a number that is not negative.

    Null is no number, also in an optional field.

    :param default: number that a missing field stands for; ``None`` if the field is
        required.
    :param highest: highest allowed number.
    """
    value = document[name] if default is None else document.get(name, default)
    number = require_finite(value, name, lowest=0)
    if number > highest:
        raise ValueError(f"{name} must be at most {highest:g}")
    return number


def _read_positive(document: Mapping, name: str, default: float) -> float:
    """Return a number above zero; see :func:`_read_number`."""
    value = _read_number(document, name, default)
    if not value:
        raise ValueError(f"{name} must be above zero")
    return value


def _read_integer(
    document: Mapping, name: str, default: int | None = None, lowest: int = 0
) -> int:
    """Return an integer; see :func:`_read_number`.

    Some encoders write integers as numbers with a fraction of zero.
    """
    value = document[name] if default is None else document.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return require_int(value, name, lowest, MAX_INTEGER)


def _read_flag(document: Mapping, name: str) -> bool:
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} must be true or false")
    return value
