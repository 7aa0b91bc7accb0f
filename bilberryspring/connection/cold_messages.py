"""Observations of cold backend servers, as routers report them to each other."""

import math
from dataclasses import dataclass

from bilberryspring.connection.load_messages import NameHash

__all__ = [
    "MAX_COLD_S",
    "ColdReport",
    "decode_cold_report",
    "encode_cold_report",
]

# Longest time for which a server counts as cold after one observation.
MAX_COLD_S = 300.0
MIN_RATE_PER_S, MAX_RATE_PER_S = 0.01, 1e9


@dataclass(frozen=True, slots=True)
class ColdReport:
    """Observation of a cold server, passed on among routers.

    :param server: hash of the server's id.
    :param started_at_ms: start of the server, as Unix time in milliseconds.
    :param rate_per_s: requests per second that it takes from all routers together while
        it is cold.
    :param remaining_s: seconds until it is warm, when it was observed; zero if it was.
    :param age_s: seconds since the observation, when the report was sent.
    :param report_number: number of the report of the server that was read; zero if
        unknown.
    :param observation_id: random number that the router drew which observed it.
    :param is_response: whether a response of the server told it, rather than the list.
    """

    server: NameHash
    started_at_ms: int
    rate_per_s: float
    remaining_s: float
    age_s: float
    report_number: int = 0
    observation_id: int = 0
    is_response: bool = False


def encode_cold_report(report: ColdReport) -> dict[str, object]:
    """Return the fields of an observation in a message.

    :param report: the observation.
    """
    return {
        "server": report.server,
        "startedAtMs": min(max(report.started_at_ms, 0), 2**64 - 1),
        "ratePerS": report.rate_per_s,
        "remainingMs": _encode_ms(report.remaining_s),
        "ageMs": _encode_ms(report.age_s),
        "reportNumber": report.report_number,
        "observationId": report.observation_id,
        "isResponse": report.is_response,
    }


def decode_cold_report(entry) -> ColdReport:
    """Decode an observation.

    :param entry: observation in a message.
    :raises ValueError: if its rate or its time is impossible.
    """
    rate_per_s, remaining_s = entry.ratePerS, entry.remainingMs / 1000
    if not math.isfinite(rate_per_s) or not (
        MIN_RATE_PER_S <= rate_per_s <= MAX_RATE_PER_S
    ):
        raise ValueError(f"a cold server that takes {rate_per_s} requests per second")
    if remaining_s > MAX_COLD_S:
        raise ValueError(f"a server that is cold for {remaining_s:.0f} s")
    return ColdReport(
        NameHash(entry.server),
        entry.startedAtMs,
        rate_per_s,
        remaining_s,
        entry.ageMs / 1000,
        entry.reportNumber,
        entry.observationId,
        entry.isResponse,
    )


def _encode_ms(time_s: float) -> int:
    return min(max(round(time_s * 1000), 0), 0xFFFF_FFFE)
