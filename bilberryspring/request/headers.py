"""Selection and packing of HTTP headers between callers and plain services."""

import json
from collections.abc import Iterable, Mapping

__all__ = ["select_request_headers", "select_response_headers", "unpack_headers"]

# Headers of a single connection, and those that the router or agent sets itself.
_HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
_MANAGED_REQUEST_HEADERS = {
    "accept-encoding",
    "authorization",
    "content-length",
    "content-type",
    "expect",
    "host",
    "idempotency-key",
    "last-event-id",
    "traceparent",
    "x-chat-key",
    "x-request-id",
    "x-work-rank",
    "x-workspace",
}
_MANAGED_RESPONSE_HEADERS = {
    "content-length",
    "content-type",
    "date",
    "server",
    "x-request-id",
}
MAX_PACKED_BYTES = 16_384


def select_request_headers(headers: Mapping[str, str]) -> str:
    """Return the caller's headers that are forwarded to a plain service, packed.

    :param headers: header values by lower-case name.
    :returns: a JSON object; empty if no header is selected or they exceed
        ``MAX_PACKED_BYTES``.

    >>> select_request_headers({"accept": "text/csv", "authorization": "Bearer k"})
    '{"accept": "text/csv"}'
    """
    return _pack(headers.items(), _HOP_BY_HOP_HEADERS | _MANAGED_REQUEST_HEADERS)


def select_response_headers(headers: Mapping[str, str]) -> str:
    """Return the service's headers that are forwarded to the caller, packed.

    :param headers: header values by name, in any case.
    :returns: a JSON object; empty if no header is selected or they exceed
        ``MAX_PACKED_BYTES``.

    >>> select_response_headers({"ETag": '"7"', "Connection": "close"})
    '{"etag": "\\\\"7\\\\""}'
    """
    return _pack(headers.items(), _HOP_BY_HOP_HEADERS | _MANAGED_RESPONSE_HEADERS)


def _pack(items: Iterable[tuple[str, str]], excluded: set[str]) -> str:
    selected = {
        name.lower(): value for name, value in items if name.lower() not in excluded
    }
    packed = json.dumps(selected) if selected else ""
    return packed if len(packed) <= MAX_PACKED_BYTES else ""


def unpack_headers(packed: str) -> dict[str, str]:
    """Return packed headers as values by lower-case name.

    :param packed: result of :func:`select_request_headers` or
        :func:`select_response_headers`.

    >>> unpack_headers("")
    {}
    """
    return json.loads(packed) if packed else {}
