"""Evacuations of availability zones in the reports of routers."""

from dataclasses import dataclass

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.load_messages import NameHash
from bilberryspring.identifiers import StoreEpoch

__all__ = [
    "EvacuationReport",
    "decode_evacuation_report",
    "encode_evacuation_report",
]

MAX_AGE_MS = 0xFFFF_FFFF
MAX_NUMBER = 2**64 - 1


@dataclass(frozen=True, slots=True)
class EvacuationReport:
    """Evacuation of an availability zone or its end, passed on among routers.

    :param zone: hash of the zone's name.
    :param evacuated_at: change of the store that asked for the evacuation.
    :param returned_at: change that ended it, or the position at which the store was
        read without it; ``None`` while it is in force.
    :param is_written: whether a router saw the store write the evacuation; a restored
        store may also list one that it got from the copy.
    :param age_s: seconds since the first router learnt it, when the report was sent.
    """

    zone: NameHash
    evacuated_at: StorePosition
    returned_at: StorePosition | None
    is_written: bool
    age_s: float


def encode_evacuation_report(report: EvacuationReport) -> dict[str, object]:
    """Return the fields of an evacuation in a message.

    :param report: the evacuation.
    """
    fields = {
        "zone": report.zone,
        "evacuatedEpoch": _clamp(report.evacuated_at.epoch),
        "evacuatedRevision": _clamp(report.evacuated_at.revision),
        "isWritten": report.is_written,
        "ageMs": min(max(round(report.age_s * 1000), 0), MAX_AGE_MS),
    }
    if report.returned_at is not None:
        fields["nextReturnedEpoch"] = _clamp(report.returned_at.epoch + 1)
        fields["returnedRevision"] = _clamp(report.returned_at.revision)
    return fields


def _clamp(number: int) -> int:
    """Return the nearest number that the message can hold."""
    return min(max(number, 0), MAX_NUMBER)


def decode_evacuation_report(entry) -> EvacuationReport:
    """Decode an evacuation.

    :param entry: evacuation in a message.
    :raises ValueError: if it ended before it began.
    """
    evacuated_at = StorePosition(
        StoreEpoch(entry.evacuatedEpoch), entry.evacuatedRevision
    )
    returned_at = None
    if entry.nextReturnedEpoch:
        returned_at = StorePosition(
            StoreEpoch(entry.nextReturnedEpoch - 1), entry.returnedRevision
        )
        if returned_at < evacuated_at:
            raise ValueError("an evacuation that ended before it began")
    return EvacuationReport(
        NameHash(entry.zone),
        evacuated_at,
        returned_at,
        entry.isWritten,
        entry.ageMs / 1000,
    )
