"""Decoders of the operator's configuration and of the entries of servers."""

import json
from collections.abc import Mapping

from bilberryspring.capability.routing import (
    BackendServer,
    CallerLimits,
    DirectRoute,
    EngineLimits,
    PoolLimits,
    RoutingTable,
    RunRule,
    WorkspaceKey,
    make_routing_table,
)
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

_RULES = {
    "safe": RunRule.REPEATABLE,
    "unsafe": RunRule.ONCE,
    "streaming": RunRule.STREAM,
}
_STATES = {"ready": True, "draining": False}
DEFAULT_TIMEOUT_MS = 30_000.0
LEAST_URGENT = 9


def decode_routing_table(value: bytes, revision: int) -> RoutingTable | Failure:
    """Decode a configuration.

    :param value: the operator's document.
    :param revision: revision of the store that wrote it.
    :returns: the table, or a failure if any part of it cannot be read.
    """
    try:
        document = json.loads(value)
        limits = document.get("limits", {})
        tenants = document.get("tenants")
        return make_routing_table(
            version=int(document["version"]),
            revision=revision,
            routes=[_decode_route(each) for each in document["routes"]],
            pools=[_decode_pool(each) for each in document["services"]],
            keys=None if not tenants else _decode_keys(tenants),
            limits=CallerLimits(
                header_bytes=int(limits.get("maxHeaderBytes", 16_384)),
                body_bytes=int(limits.get("maxBodyBytes", 4_194_304)),
                header_s=float(limits.get("headerTimeoutMs", 10_000)) / 1000,
                idle_s=float(limits.get("idleTimeoutMs", 60_000)) / 1000,
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"the configuration cannot be read: {error!r}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)


def _decode_route(each: Mapping) -> DirectRoute:
    split = each.get("split")
    if split:
        pools = tuple(
            (PoolName(part["service"]), float(part["weight"])) for part in split
        )
    else:
        pools = ((PoolName(each["service"]), 1.0),)
    timeout_ms = float(each.get("timeoutMs") or DEFAULT_TIMEOUT_MS)
    return DirectRoute(
        name=RouteName(each["name"]),
        host=each["host"],
        path_prefix=each["prefix"],
        rule=_RULES[each["kind"]],
        pools=pools,
        max_servers=max(1, int(each.get("attempts", 1))),
        timeout_s=timeout_ms / 1000,
        target_s=float(each.get("goalMs") or timeout_ms) / 1000,
        pause_target_s=float(each.get("gapGoalMs") or 0) / 1000,
        rank_order=_clamp_rank(each.get("priority", LEAST_URGENT)),
        is_public=bool(each.get("public", False)),
        is_resumable=bool(each.get("resumable", False)),
    )


def _clamp_rank(priority: object) -> int:
    return min(max(int(priority), 0), LEAST_URGENT)


def _decode_pool(each: Mapping) -> PoolLimits:
    engine = each.get("engine")
    return PoolLimits(
        name=PoolName(each["name"]),
        max_connections=int(each.get("maxConns") or 100),
        engine=None
        if not engine
        else EngineLimits(
            slots=int(engine["slots"]),
            cache_tokens=int(engine["kvTokens"]),
            # The tokens that one event of a stream holds.
            chunk_tokens=max(1, int(engine.get("stride", 1))),
            can_fetch=bool(engine.get("moves", False)),
        ),
    )


def _decode_keys(tenants: list[Mapping]) -> dict[str, WorkspaceKey]:
    keys = {}
    for each in tenants:
        priority = each.get("priority")
        rank = None if priority is None else _clamp_rank(priority)
        for key in each.get("apiKeys", ()):
            keys[key] = WorkspaceKey(WorkspaceName(each["name"]), rank)
    return keys


def decode_server(server_id: str, value: bytes) -> BackendServer | Failure:
    """Decode the entry of a server.

    :param server_id: the last part of its key; it stands nowhere else.
    :param value: what the server, or another writer, wrote.
    :returns: the server, or a failure if the entry names none that can be used.
    """
    try:
        entry = json.loads(value)
        host, port = split_address(entry["address"])
        started_at_ms = entry.get("born", 0)
        return BackendServer(
            server_id=InstanceId(server_id),
            pool=PoolName(_read_text(entry, "service")),
            host=host,
            port=port,
            availability_zone=AvailabilityZone(_read_text(entry, "zone")),
            slots=_read_count(entry, "slots"),
            is_ready=_STATES[entry["state"]],
            started_at_ms=started_at_ms if isinstance(started_at_ms, int) else 0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"the entry of {server_id} cannot be read: {error!r}"
        return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)


def _read_text(entry: Mapping, name: str) -> str:
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is not text")
    return value


def _read_count(entry: Mapping, name: str) -> int:
    value = entry[name]
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise ValueError(f"{name} is not a count")
    return value
