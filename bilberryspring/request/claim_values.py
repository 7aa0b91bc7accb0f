"""Stored form of the claim on one idempotency key.

A value is a version byte followed by a packed Cap'n Proto message. The previous version
of the program stored JSON objects, which are still decoded.
"""

import base64
import json
from enum import Enum
from pathlib import Path
from urllib.parse import quote

import capnp
from pydantic import BaseModel, ConfigDict, Field

import bilberryspring.connection
from bilberryspring.identifiers import (
    IdempotencyKey,
    InstanceId,
    RouteName,
    WorkspaceName,
    digest_content,
)
from bilberryspring.malformed_input import MALFORMED_ERRORS

__all__ = [
    "CLAIM_PREFIX",
    "MAX_STORED_BODY_BYTES",
    "ClaimState",
    "ClaimValue",
    "decode_claim_value",
    "encode_claim_value",
    "make_claim_group",
    "make_claim_path",
    "make_claimed_value",
    "make_recorded_value",
    "make_released_value",
    "make_unknown_value",
]

CLAIM_PREFIX = "/bilberryspring/claims/"
MAX_STORED_BODY_BYTES = 16_384
VALUE_VERSION = b"\x01"
DIGEST_PATTERN = r"^([0-9a-f]{32})?$"

capnp.remove_import_hook()
_schema = capnp.load(
    str(Path(bilberryspring.connection.__file__).with_name("claims.capnp"))
)


class ClaimState(Enum):
    """State of a claim in the key-value service."""

    CLAIMED = "claimed"
    """The holder may send the request or has sent it."""
    RELEASED = "released"
    """The holder did not send the request; any request may claim the key."""
    RECORDED = "recorded"
    """The request ran and its response is stored."""
    UNKNOWN = "unknown"
    """The request was sent and no response was received."""


class ClaimValue(BaseModel):
    """Stored claim; fields that do not apply to its state have their default.

    :param state: state of the claim.
    :param token: unique for each claim; it identifies the holder's own claim after a
        lost reply.
    :param holder: instance that made the claim.
    :param digest: digest of the request's content.
    :param deadline_ms: deadline of the request, in milliseconds since the epoch; after
        it the outcome of a claim in the state ``claimed`` counts as unknown.
    :param status: HTTP status code of the response.
    :param content_type: media type of the response.
    :param body: body of the response; ``None`` if there is none or it was too large.
    :param body_digest: digest of a body that was too large, otherwise empty.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    state: ClaimState
    token: bytes = Field(default=b"", max_length=64)
    holder: str = ""
    digest: str = Field(default="", pattern=DIGEST_PATTERN)
    deadline_ms: int = Field(default=0, ge=0, lt=2**63)
    status: int = Field(default=0, ge=0, le=599)
    content_type: str = ""
    body: bytes | None = None
    body_digest: str = Field(default="", pattern=DIGEST_PATTERN)


def make_claim_group(route: RouteName, workspace: WorkspaceName) -> str:
    """Return the key prefix of a workspace's claims at a route.

    Both names are percent-encoded.
    """
    return f"{CLAIM_PREFIX}{quote(route, safe='')}/{quote(workspace, safe='')}/"


def make_claim_path(
    route: RouteName, workspace: WorkspaceName, key: IdempotencyKey
) -> str:
    """Return the key of a claim in the key-value service.

    >>> make_claim_path("orders", "cankaya/1", "018b")
    '/bilberryspring/claims/orders/cankaya%2F1/018b'
    """
    return make_claim_group(route, workspace) + key


def make_claimed_value(
    token: bytes, holder: InstanceId, digest: str, deadline_ms: int
) -> ClaimValue:
    """Return the value that claims a key.

    :param token: a token that no other claim has.
    :param holder: instance that makes the claim.
    :param digest: digest of the request's content.
    :param deadline_ms: deadline of the request, in milliseconds since the epoch.
    """
    return ClaimValue(
        state=ClaimState.CLAIMED,
        token=token,
        holder=holder,
        digest=digest,
        deadline_ms=deadline_ms,
    )


def make_released_value(token: bytes) -> ClaimValue:
    """Return the value that releases a key, so that any request may claim it.

    :param token: token of the released claim; it makes the value unique.
    """
    return ClaimValue(state=ClaimState.RELEASED, token=token)


def make_unknown_value(claimed: ClaimValue) -> ClaimValue:
    """Return the value for a request that was sent and received no response.

    :param claimed: the value that claimed the key.
    """
    return ClaimValue(
        state=ClaimState.UNKNOWN, holder=claimed.holder, digest=claimed.digest
    )


def make_recorded_value(
    claimed: ClaimValue, status: int, content_type: str, body: bytes
) -> ClaimValue:
    """Return the value that stores a response.

    :param claimed: the value that claimed the key.
    :param status: HTTP status code of the response.
    :param content_type: media type of the response.
    :param body: the whole body; only its digest is stored if it is larger than
        ``MAX_STORED_BODY_BYTES``.
    """
    is_small = len(body) <= MAX_STORED_BODY_BYTES
    return ClaimValue(
        state=ClaimState.RECORDED,
        digest=claimed.digest,
        status=status,
        content_type=content_type,
        body=body if is_small else None,
        body_digest="" if is_small else digest_content(body),
    )


def encode_claim_value(value: ClaimValue) -> bytes:
    """Encode a claim; equal values have equal encodings."""
    message = _schema.StoredClaim.new_message(
        state=value.state.value,
        status=value.status,
        deadlineMs=value.deadline_ms,
        token=value.token,
        digest=bytes.fromhex(value.digest),
        holder=value.holder,
        contentType=value.content_type,
        hasBody=value.body is not None,
        body=value.body or b"",
        bodyDigest=bytes.fromhex(value.body_digest),
    )
    return VALUE_VERSION + message.to_bytes_packed()


def decode_claim_value(raw: bytes) -> ClaimValue | None:
    """Decode a stored claim.

    :param raw: value of a key in the key-value service.
    :returns: the claim; ``None`` if the bytes are not a valid claim.

    >>> decode_claim_value(b"{}") is None
    True
    """
    try:
        if raw.startswith(VALUE_VERSION):
            return _decode_message(raw[len(VALUE_VERSION) :])
        return _decode_json(raw)
    except MALFORMED_ERRORS:
        return None


def _decode_message(raw: bytes) -> ClaimValue:
    message = _schema.StoredClaim.from_bytes_packed(raw)
    return ClaimValue(
        state=str(message.state),
        token=bytes(message.token),
        holder=message.holder,
        digest=message.digest.hex(),
        deadline_ms=message.deadlineMs,
        status=message.status,
        content_type=message.contentType,
        body=bytes(message.body) if message.hasBody else None,
        body_digest=message.bodyDigest.hex(),
    )


def _decode_json(raw: bytes) -> ClaimValue:
    """Decode a claim that the previous version of the program stored."""
    fields = json.loads(raw)
    if not isinstance(fields, dict):
        raise ValueError("the stored claim is not a JSON object")
    if fields.get("body") is not None:
        fields["body"] = base64.b64decode(fields["body"])
    return ClaimValue.model_validate(fields | {"token": str(fields["token"]).encode()})
