"""Predicts how long a request would wait in an agent's queue.

The service rate is the number of slots times the mean cost that one slot finishes in
a second, measured on finished requests. A rank gets what more urgent ranks leave, and
at least its minimum share.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bilberryspring.identifiers import RankName
from bilberryspring.request.decaying_sum import DecayingSum

__all__ = ["ServiceRate", "RankBacklog", "predict_wait", "compute_rank_rate"]

RATE_TIME_CONSTANT_S = 20.0
MIN_AVAILABLE_SHARE = 0.02


class ServiceRate:
    """Measured speed of a backend server's slots."""

    def __init__(self):
        self._cost = DecayingSum(RATE_TIME_CONSTANT_S)
        self._duration = DecayingSum(RATE_TIME_CONSTANT_S)

    def record(self, cost: float, duration_s: float, now_s: float) -> None:
        """Note a finished request.

        :param cost: work that it took.
        :param duration_s: time that it held a slot.
        :param now_s: monotonic time.
        """
        self._cost.add(cost, now_s)
        self._duration.add(duration_s, now_s)

    def estimate(self, slots: int, now_s: float) -> float | None:
        """Return the cost a second with all slots in use, ``None`` if not known."""
        duration_s = self._duration.value(now_s)
        # Both sums decay alike, so a long pause leaves their quotient valid.
        if duration_s <= 0.0:
            return None
        return slots * self._cost.value(now_s) / duration_s


@dataclass(frozen=True, slots=True)
class RankBacklog:
    """State of one rank that matters to a prediction.

    :param queued_cost: cost of its queued work.
    :param dispatch_rate: cost a second that was dispatched lately.
    :param minimum_share: its configured share.
    """

    queued_cost: float
    dispatch_rate: float
    minimum_share: float


def compute_rank_rate(
    rank: RankName,
    backlogs: Mapping[RankName, RankBacklog],
    ranks_by_urgency: Sequence[RankName],
    service_rate: float,
) -> float:
    """Return the cost a second that a rank can expect.

    :param rank: the rank.
    :param backlogs: state of every rank.
    :param ranks_by_urgency: ranks, the most urgent first.
    :param service_rate: service rate of the backend server.
    """
    position = ranks_by_urgency.index(rank)
    taken = sum(backlogs[name].dispatch_rate for name in ranks_by_urgency[:position])
    entitled = sum(
        backlogs[name].minimum_share
        for name in ranks_by_urgency[position + 1 :]
        if backlogs[name].queued_cost > 0
    )
    least = max(backlogs[rank].minimum_share, MIN_AVAILABLE_SHARE)
    return max(service_rate - taken - entitled * service_rate, least * service_rate)


def predict_wait(
    rank: RankName,
    cost_ahead_in_rank: float,
    backlogs: Mapping[RankName, RankBacklog],
    ranks_by_urgency: Sequence[RankName],
    service_rate: float,
) -> float:
    """Return the predicted time until a new request of a rank gets a slot.

    :param rank: rank of the request.
    :param cost_ahead_in_rank: queued cost of its rank that is served before it.
    :param backlogs: state of every rank.
    :param ranks_by_urgency: ranks, the most urgent first.
    :param service_rate: service rate of the backend server, cost a second.
    :returns: seconds.
    """
    urgent_cost = sum(
        backlogs[name].queued_cost
        for name in ranks_by_urgency[: ranks_by_urgency.index(rank)]
    )
    rank_rate = compute_rank_rate(rank, backlogs, ranks_by_urgency, service_rate)
    in_order_s = (urgent_cost + cost_ahead_in_rank) / rank_rate
    minimum_share = backlogs[rank].minimum_share
    if minimum_share <= 0:
        return in_order_s
    return min(in_order_s, cost_ahead_in_rank / (minimum_share * service_rate))
