"""Description of a request whose placement an operator asks for."""

from collections.abc import Mapping
from typing import Any

from bilberryspring.capability.routing import (
    DirectRoute,
    IncomingRequest,
    Prompt,
    PromptPart,
    RoutingTable,
    find_route,
)
from bilberryspring.identifiers import ModelName, RequestId, WorkspaceName
from bilberryspring.malformed_input import (
    MALFORMED_ERRORS,
    describe_error,
    parse_json,
    require_finite,
    require_int,
)
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["EXPLAIN_PATH", "decode_preview_request"]

# Path at a router's control address.
EXPLAIN_PATH = "/explain-request"
MAX_DESCRIPTION_BYTES = 256 * 1024
MAX_TOKENS = 2**31 - 1
DEFAULT_TIME_LEFT_S = 30.0
PREVIEW_REQUEST_ID = "preview"


def decode_preview_request(
    value: bytes, table: RoutingTable, now_s: float
) -> IncomingRequest | Failure:
    """Decode the description of a request, as ``explain-request`` sends it.

    :param value: JSON object with ``route`` or ``host`` and ``path``, and optionally
        ``workspace``, ``request_id``, ``input_tokens``, ``output_tokens``,
        ``hinted_output_tokens``, ``model``, ``parts`` (objects with ``id`` and
        ``tokens``), ``tried`` (ids of servers) and ``time_left_s``.
    :param table: configuration in force.
    :param now_s: time on the clock of the requests' deadlines.
    :returns: a request that was never received, or the failure that tells what is wrong
        with the description.
    """
    try:
        document = parse_json(value, MAX_DESCRIPTION_BYTES)
        if not isinstance(document, Mapping):
            raise ValueError("the description must be an object")
        route = _find_described_route(document, table)
        workspace, rank_order = _find_workspace(document, table, route)
        time_left_s = require_finite(
            document.get("time_left_s", DEFAULT_TIME_LEFT_S), "time_left_s", lowest=0
        )
        tried = document.get("tried", [])
        if not isinstance(tried, list) or not all(
            isinstance(each, str) for each in tried
        ):
            raise ValueError("tried must be a list of server ids")
        return IncomingRequest(
            request_id=RequestId(
                _read_text(document, "request_id", PREVIEW_REQUEST_ID)
            ),
            method="POST",
            target=_read_text(document, "path", route.path_prefix),
            headers=[],
            body=b"",
            route=route,
            workspace=workspace,
            rank_order=rank_order,
            received_s=now_s,
            deadline_s=now_s + time_left_s,
            prompt=_decode_prompt(document),
            tried_server_ids=set(tried),
        )
    except MALFORMED_ERRORS as error:
        reason = f"malformed description: {describe_error(error)}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def _read_text(document: Mapping[str, Any], name: str, default: str) -> str:
    value = document.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} must be a string")
    return value


def _find_described_route(
    document: Mapping[str, Any], table: RoutingTable
) -> DirectRoute:
    name = _read_text(document, "route", "")
    if name:
        for host_routes in table.routes.values():
            for route in host_routes:
                if route.name == name:
                    return route
        raise ValueError(f"version {table.version} has no route {name[:80]!r}")
    host, path = _read_text(document, "host", ""), _read_text(document, "path", "")
    route = find_route(table, host, path.partition("?")[0])
    if route is None:
        raise ValueError(
            f"version {table.version} has no route for host {host[:80]!r} and path"
            f" {path[:80]!r}"
        )
    return route


def _find_workspace(
    document: Mapping[str, Any], table: RoutingTable, route: DirectRoute
) -> tuple[WorkspaceName | None, int]:
    """Return the workspace of a description, and the position of its work rank."""
    name = _read_text(document, "workspace", "")
    if not name:
        return None, route.rank_order
    for key in (table.keys or {}).values():
        if key.workspace == name:
            rank_order = route.rank_order if key.rank_order is None else key.rank_order
            return key.workspace, rank_order
    raise ValueError(f"version {table.version} has no key of workspace {name[:80]!r}")


def _decode_prompt(document: Mapping[str, Any]) -> Prompt | None:
    """Decode the token counts of a request to an engine, ``None`` without any."""
    described = document.get("parts", [])
    if not isinstance(described, list):
        raise ValueError("parts must be a list")
    parts = tuple(
        PromptPart(
            _read_text(each, "id", ""),
            require_int(each.get("tokens"), "tokens of a part", 0, MAX_TOKENS),
        )
        for each in described
    )
    if not parts and "input_tokens" not in document:
        return None
    part_tokens = sum(part.tokens for part in parts)
    counts = {
        name: require_int(document.get(name, default), name, 0, MAX_TOKENS)
        for name, default in (
            ("input_tokens", part_tokens),
            ("output_tokens", 0),
            ("hinted_output_tokens", 0),
        )
    }
    return Prompt(
        model=ModelName(_read_text(document, "model", "")), parts=parts, **counts
    )
