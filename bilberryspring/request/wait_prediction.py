"""Prediction of the time that a request waits in an agent's queue.

The service rate is the number of slots times the mean cost that one slot finishes per
second, measured on finished requests. A rank is served at the rate that more urgent
ranks leave over, and at least at its minimum share of the service rate.
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
        """Record a finished request.

        :param cost: its estimated cost.
        :param duration_s: time that it occupied a slot.
        :param now_s: monotonic time.
        """
        self._cost.add(cost, now_s)
        self._duration.add(duration_s, now_s)

    def estimate(self, slots: int, now_s: float) -> float | None:
        """Return the cost per second with all slots in use.

        :param slots: number of slots.
        :param now_s: monotonic time.
        :returns: ``None`` before the first request has finished.
        """
        duration_s = self._duration.value(now_s)
        # Both sums decay at the same rate, so their ratio stays valid when idle.
        if duration_s <= 0.0:
            return None
        return slots * self._cost.value(now_s) / duration_s


@dataclass(frozen=True, slots=True)
class RankBacklog:
    """Backlog and recent service of one rank.

    :param queued_cost: cost of its queued work.
    :param dispatch_rate: cost per second that was dispatched recently.
    :param minimum_share: configured minimum share of the service rate, zero for none.
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
    """Return the cost per second that a rank can expect to be served.

    :param rank: name of the work rank.
    :param backlogs: backlog of every rank.
    :param ranks_by_urgency: ranks, the most urgent first.
    :param service_rate: cost per second of the backend server.
    """
    position = ranks_by_urgency.index(rank)
    urgent_rate = sum(
        backlogs[name].dispatch_rate for name in ranks_by_urgency[:position]
    )
    reserved_share = sum(
        backlogs[name].minimum_share
        for name in ranks_by_urgency[position + 1 :]
        if backlogs[name].queued_cost > 0
    )
    available_share = max(backlogs[rank].minimum_share, MIN_AVAILABLE_SHARE)
    return max(
        service_rate - urgent_rate - reserved_share * service_rate,
        available_share * service_rate,
    )


def predict_wait(
    rank: RankName,
    cost_ahead_in_rank: float,
    backlogs: Mapping[RankName, RankBacklog],
    ranks_by_urgency: Sequence[RankName],
    service_rate: float,
) -> float:
    """Return the predicted time until a new request of a rank gets a slot.

    :param rank: rank of the request.
    :param cost_ahead_in_rank: cost of queued work of its rank that is served before it.
    :param backlogs: backlog of every rank.
    :param ranks_by_urgency: ranks, the most urgent first.
    :param service_rate: cost per second of the backend server.
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
