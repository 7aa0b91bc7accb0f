"""Identifier types that all packages share, and the content digest."""

from typing import NewType

import xxhash

__all__ = [
    "InstanceId",
    "AvailabilityZone",
    "Region",
    "PoolName",
    "ModelName",
    "RouteName",
    "RankName",
    "WorkspaceName",
    "RequestId",
    "ChatKey",
    "IdempotencyKey",
    "ConfigVersion",
    "EngineVersion",
    "StoreEpoch",
    "StoreHistoryId",
    "digest_content",
]

InstanceId = NewType("InstanceId", str)
AvailabilityZone = NewType("AvailabilityZone", str)
Region = NewType("Region", str)
PoolName = NewType("PoolName", str)
ModelName = NewType("ModelName", str)
RouteName = NewType("RouteName", str)
RankName = NewType("RankName", str)
WorkspaceName = NewType("WorkspaceName", str)
RequestId = NewType("RequestId", str)
ChatKey = NewType("ChatKey", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ConfigVersion = NewType("ConfigVersion", int)
EngineVersion = NewType("EngineVersion", str)
StoreEpoch = NewType("StoreEpoch", int)
StoreHistoryId = NewType("StoreHistoryId", str)


def digest_content(content: bytes) -> str:
    """Return the xxh3-128 digest of some content.

    :param content: bytes to hash, possibly empty.
    :returns: digest as 32 hexadecimal digits.

    >>> digest_content(b"roll")
    '950f2bbdfde655a31c0cfe99dd813d36'
    """
    return xxhash.xxh3_128_hexdigest(content)
