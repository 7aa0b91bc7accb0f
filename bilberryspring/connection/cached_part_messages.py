"""Parts of prompts that engines hold, in the reports of routers."""

from dataclasses import dataclass
from typing import NewType

from bilberryspring.capability.routing import PartId
from bilberryspring.connection.load_messages import NameHash, hash_name

__all__ = [
    "CachedPartReport",
    "PartHash",
    "decode_cached_part",
    "encode_cached_part",
    "hash_part",
]

PartHash = NewType("PartHash", int)

PART_HASH_BITS = 32
MAX_AGE_MS = 0xFFFF


@dataclass(frozen=True, slots=True)
class CachedPartReport:
    """Use of a part of a prompt at an engine, passed on among routers.

    :param server: hash of the engine's id.
    :param part: hash of the part's id.
    :param tokens: number of tokens of the part.
    :param age_s: seconds since a router got a response of the engine to a request with
        the part, when the report was sent.
    """

    server: NameHash
    part: PartHash
    tokens: int
    age_s: float


def hash_part(part_id: PartId) -> PartHash:
    """Return the 32-bit hash that identifies a part in reports.

    Two parts with one hash cost a fetch that finds nothing.

    :param part_id: id of the part.
    """
    return PartHash(hash_name(part_id) >> (64 - PART_HASH_BITS))


def encode_cached_part(report: CachedPartReport) -> dict[str, object]:
    """Return the fields of a report in a message.

    :param report: the report.
    """
    return {
        "server": report.server,
        "part": report.part,
        "tokens": min(max(report.tokens, 0), 0xFFFF),
        "ageMs": min(max(round(report.age_s * 1000), 0), MAX_AGE_MS),
    }


def decode_cached_part(entry) -> CachedPartReport:
    """Decode a report.

    :param entry: report in a message.
    """
    return CachedPartReport(
        NameHash(entry.server), PartHash(entry.part), entry.tokens, entry.ageMs / 1000
    )
