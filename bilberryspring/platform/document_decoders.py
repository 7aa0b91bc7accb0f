"""Decoders of the operator's configuration and of backend server entries."""

import json
from collections.abc import Mapping

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
from bilberryspring.identifiers import (
    AvailabilityZone,
    InstanceId,
    PoolName,
    RouteName,
    WorkspaceName,
)
from bilberryspring.process.addresses import split_address
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["decode_routing_table", "decode_server"]

_EXECUTION_RULES = {
    "safe": ExecutionRule.REPEATABLE,
    "unsafe": ExecutionRule.ONCE,
    "streaming": ExecutionRule.STREAM,
}
_READINESS_BY_STATE = {"ready": True, "draining": False}
DEFAULT_ROUTE_TIMEOUT_MS = 30_000.0
LEAST_URGENT_RANK = 9
MAX_REPORT_NUMBER = 2**32 - 1


def decode_routing_table(
    value: bytes, position: StorePosition
) -> RoutingTable | Failure:
    """Decode a configuration document.

    :param value: JSON document of the operator, as bytes.
    :param position: position in the store's history at which it was written.
    :returns: the routing table, or a failure if any part of the document is malformed.
    """
    try:
        document = json.loads(value)
        limits = document.get("limits", {})
        tenants = document.get("tenants")
        return make_routing_table(
            version=int(document["version"]),
            position=position,
            routes=[_decode_route(route) for route in document["routes"]],
            pools=[_decode_pool(service) for service in document["services"]],
            keys=None if not tenants else _decode_workspace_keys(tenants),
            limits=CallerLimits(
                max_header_bytes=int(limits.get("maxHeaderBytes", 16_384)),
                max_body_bytes=int(limits.get("maxBodyBytes", 4_194_304)),
                header_timeout_s=float(limits.get("headerTimeoutMs", 10_000)) / 1000,
                idle_timeout_s=float(limits.get("idleTimeoutMs", 60_000)) / 1000,
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"malformed configuration: {error!r}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)


def _decode_route(route: Mapping) -> DirectRoute:
    split = route.get("split")
    if split:
        pools = tuple(
            (PoolName(target["service"]), float(target["weight"])) for target in split
        )
    else:
        pools = ((PoolName(route["service"]), 1.0),)
    timeout_ms = float(route.get("timeoutMs") or DEFAULT_ROUTE_TIMEOUT_MS)
    return DirectRoute(
        name=RouteName(route["name"]),
        host=route["host"],
        path_prefix=route["prefix"],
        rule=_EXECUTION_RULES[route["kind"]],
        pools=pools,
        max_servers=max(1, int(route.get("attempts", 1))),
        timeout_s=timeout_ms / 1000,
        target_s=float(route.get("goalMs") or timeout_ms) / 1000,
        pause_target_s=float(route.get("gapGoalMs") or 0) / 1000,
        rank_order=_clamp_rank(route.get("priority", LEAST_URGENT_RANK)),
        is_public=bool(route.get("public", False)),
        is_resumable=bool(route.get("resumable", False)),
    )


def _clamp_rank(priority: object) -> int:
    return min(max(int(priority), 0), LEAST_URGENT_RANK)


def _decode_pool(service: Mapping) -> PoolLimits:
    engine = service.get("engine")
    return PoolLimits(
        name=PoolName(service["name"]),
        max_connections=int(service.get("maxConns") or 100),
        engine=None
        if not engine
        else EngineLimits(
            slots=int(engine["slots"]),
            cache_tokens=int(engine["kvTokens"]),
            # Number of tokens in one event of a stream.
            chunk_tokens=max(1, int(engine.get("stride", 1))),
            can_fetch=bool(engine.get("moves", False)),
        ),
    )


def _decode_workspace_keys(tenants: list[Mapping]) -> dict[str, WorkspaceKey]:
    keys = {}
    for tenant in tenants:
        priority = tenant.get("priority")
        rank = None if priority is None else _clamp_rank(priority)
        for key in tenant.get("apiKeys", ()):
            keys[key] = WorkspaceKey(WorkspaceName(tenant["name"]), rank)
    return keys


def decode_server(server_id: str, value: bytes) -> BackendServer | Failure:
    """Decode the store entry of a backend server.

    :param server_id: last part of the entry's key; the entry itself does not contain
        the id.
    :param value: JSON document of the entry, as bytes; not necessarily written by the
        server.
    :returns: the server, or a failure if the entry is malformed.
    """
    try:
        entry = json.loads(value)
        host, port = split_address(entry["address"])
        started_at_ms = entry.get("born", 0)
        return BackendServer(
            server_id=InstanceId(server_id),
            pool=PoolName(_require_text(entry, "service")),
            host=host,
            port=port,
            availability_zone=AvailabilityZone(_require_text(entry, "zone")),
            slots=_require_count(entry, "slots"),
            is_ready=_READINESS_BY_STATE[entry["state"]],
            started_at_ms=started_at_ms if isinstance(started_at_ms, int) else 0,
            report_number=_read_report_number(entry.get("seq")),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"malformed entry of server {server_id}: {error!r}"
        return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)


def _read_report_number(value: object) -> int:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return value if is_number and 0 <= value <= MAX_REPORT_NUMBER else 0


def _require_text(entry: Mapping, name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} must be a string that is not empty")
    return value


def _require_count(entry: Mapping, name: str) -> int:
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError(f"{name} must be an integer above zero")
    return value
