"""Request messages of the etcd v3 JSON gateway: base64 bytes and integers as strings.

.. seealso:: etcd API reference, ``etcdserverpb``; the gateway omits fields that have
   their default value.
"""

import base64
import binascii
from enum import Enum
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator
from pydantic.alias_generators import to_camel

__all__ = [
    "CompareTarget",
    "CompareResult",
    "Compare",
    "RangeRequest",
    "PutRequest",
    "DeleteRangeRequest",
    "RequestOperation",
    "TransactionRequest",
    "LeaseGrantRequest",
    "LeaseRequest",
    "WatchCreateRequest",
    "WatchRequest",
    "encode_bytes",
]


def _decode_bytes(value: object) -> object:
    if not isinstance(value, str):
        return value
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise ValueError(f"illegal base64 data: {error}") from None


def encode_bytes(value: bytes) -> str:
    """Return bytes as the base64 text that the gateway uses.

    :param value: the bytes.

    >>> encode_bytes(b"ward")
    'd2FyZA=='
    """
    return base64.b64encode(value).decode("ascii")


Bytes = Annotated[bytes, BeforeValidator(_decode_bytes)]
Int64 = Annotated[int, Field(ge=-(2**63), lt=2**63)]


class _GatewayMessage(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, populate_by_name=True, alias_generator=to_camel
    )


class CompareTarget(Enum):
    """Property of a key that a comparison reads."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class CompareResult(Enum):
    """Relation that a comparison requires."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class Compare(_GatewayMessage):
    """One condition of a transaction.

    :param key: key to compare, or the first key of a range.
    :param range_end: exclusive end of a range whose keys must all meet the condition;
        empty for one key, a zero byte for no end.
    :param target: property of the key to compare.
    :param result: relation of the stored property to the given one.
    :param version: operand for ``VERSION``; a missing key has version zero.
    :param create_revision: operand for ``CREATE``; zero matches a missing key.
    :param mod_revision: operand for ``MOD``; zero matches a missing key.
    :param value: operand for ``VALUE``; a missing key never meets the condition.
    :param lease: operand for ``LEASE``; zero for no lease.
    """

    key: Bytes
    range_end: Bytes = b""
    target: CompareTarget = CompareTarget.VERSION
    result: CompareResult = CompareResult.EQUAL
    version: Int64 = 0
    create_revision: Int64 = 0
    mod_revision: Int64 = 0
    value: Bytes = b""
    lease: Int64 = 0


class RangeRequest(_GatewayMessage):
    """Read of one key or of a range of keys.

    :param key: the key, or the first key of the range.
    :param range_end: exclusive end of the range; empty for one key, a zero byte for no
        end.
    :param limit: limit on the values returned; zero for no limit.
    :param revision: refused if it was compacted; reads return current values in any
        case.
    :param sort_order: accepted and ignored; values are in the order of their keys.
    :param sort_target: accepted and ignored.
    :param serializable: accepted and ignored.
    :param keys_only: whether to omit the values.
    :param count_only: whether to return only the number of keys.
    """

    key: Bytes = b""
    range_end: Bytes = b""
    limit: Int64 = 0
    revision: Int64 = 0
    sort_order: str = "NONE"
    sort_target: str = "KEY"
    serializable: bool = False
    keys_only: bool = False
    count_only: bool = False


class PutRequest(_GatewayMessage):
    """Write of one key.

    :param key: the key.
    :param value: new value.
    :param lease: id of the lease to attach the key to; zero for none.
    :param prev_kv: whether the response includes the previous value.
    """

    key: Bytes = b""
    value: Bytes = b""
    lease: Int64 = 0
    prev_kv: bool = False


class DeleteRangeRequest(_GatewayMessage):
    """Deletion of one key or of a range of keys.

    :param key: the key, or the first key of the range.
    :param range_end: exclusive end of the range; empty for one key, a zero byte for no
        end.
    :param prev_kv: whether the response includes the deleted values.
    """

    key: Bytes = b""
    range_end: Bytes = b""
    prev_kv: bool = False


class RequestOperation(_GatewayMessage):
    """One operation of a transaction; exactly one field is set.

    :param request_range: read.
    :param request_put: write.
    :param request_delete_range: deletion.
    :param request_txn: nested transaction.
    """

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_txn: "TransactionRequest | None" = None

    @model_validator(mode="after")
    def _check_one_field(self) -> "RequestOperation":
        if len(self.model_fields_set) != 1:
            raise ValueError("exactly one request is expected")
        return self


class TransactionRequest(_GatewayMessage):
    """Transaction.

    :param compare: conditions that are evaluated first.
    :param success: operations to apply if every condition holds.
    :param failure: operations to apply otherwise.
    """

    compare: list[Compare] = []
    success: list[RequestOperation] = []
    failure: list[RequestOperation] = []


class LeaseGrantRequest(_GatewayMessage):
    """Grant of a lease.

    :param ttl_s: time to live in seconds.
    :param lease_id: id of the lease; zero lets the service choose one.
    """

    ttl_s: Int64 = Field(default=0, alias="TTL")
    lease_id: Int64 = Field(default=0, alias="ID")


class LeaseRequest(_GatewayMessage):
    """Keep-alive, revocation or query of a lease.

    :param lease_id: id of the lease.
    :param keys: whether the response to a query includes the attached keys.
    """

    lease_id: Int64 = Field(default=0, alias="ID")
    keys: bool = False


class WatchCreateRequest(_GatewayMessage):
    """Subscription to the events of a key or of a range of keys.

    :param key: the key, or the first key of the range.
    :param range_end: exclusive end of the range; empty for one key, a zero byte for no
        end.
    :param start_revision: first revision whose events are sent; zero for new events
        only.
    :param progress_notify: accepted and ignored.
    :param prev_kv: whether each event includes the previous value.
    """

    key: Bytes = b""
    range_end: Bytes = b""
    start_revision: Int64 = 0
    progress_notify: bool = False
    prev_kv: bool = False


class WatchRequest(_GatewayMessage):
    """First message of a watch stream.

    :param create_request: the subscription.
    """

    create_request: WatchCreateRequest
