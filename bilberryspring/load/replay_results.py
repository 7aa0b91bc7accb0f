"""Records of replayed requests, and the summary of a replay."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from bilberryspring.identifiers import RankName
from bilberryspring.load.replay_trace import Arrival, ArrivalTrace

__all__ = ["ReplayRecord", "RankResult", "ReplayResult", "summarize_replay"]


@dataclass(slots=True)
class ReplayRecord:
    """Progress and outcome of one replayed request.

    :param arrival: arrival of the request in the trace.
    :param started_s: virtual time at which the request got a slot; ``None`` if it never
        did.
    :param finished_s: virtual time at which the request finished; ``None`` if it never
        did.
    :param submissions: number of times that the caller submitted the request.
    :param attempts: number of times that a router sent the request to an agent.
    """

    arrival: Arrival
    started_s: float | None = None
    finished_s: float | None = None
    submissions: int = 0
    attempts: int = 0

    @property
    def wait_s(self) -> float:
        """Time in seconds from the arrival to the start; infinite if never started."""
        return (
            float("inf")
            if self.started_s is None
            else self._compute_age_s(self.started_s)
        )

    @property
    def is_in_time(self) -> bool:
        """Whether the request met both its latency target and its deadline."""
        return (
            self.wait_s <= self.arrival.rank_load.target_wait_s
            and self._is_finished_by_deadline
        )

    @property
    def earned_benefit(self) -> float:
        """Benefit that the request earned.

        It is the full benefit up to the latency target and decreases linearly to zero
        at the deadline. A request that misses its deadline earns nothing.
        """
        load = self.arrival.rank_load
        if not self._is_finished_by_deadline:
            return 0.0
        late_s = max(self.wait_s - load.target_wait_s, 0.0)
        return load.request_benefit * max(
            1.0 - late_s / (load.deadline_s - load.target_wait_s), 0.0
        )

    @property
    def _is_finished_by_deadline(self) -> bool:
        if self.finished_s is None:
            return False
        return self._compute_age_s(self.finished_s) <= self.arrival.rank_load.deadline_s

    def _compute_age_s(self, at_s: float) -> float:
        return at_s - self.arrival.at_s


@dataclass(frozen=True, slots=True)
class RankResult:
    """Service that the requests of one work rank received.

    :param requests: number of requests.
    :param in_time: share of the requests that met latency target and deadline.
    :param served: share of the requests that earned any benefit.
    :param wait_p95_s: 95th percentile of the wait for a slot in seconds, over the
        requests that got one; zero if none did.
    :param returned: requests that were submitted more than once.
    :param served_at_return: share of the returned requests that earned any benefit.
    """

    requests: int
    in_time: float
    served: float
    wait_p95_s: float
    returned: int
    served_at_return: float


@dataclass(frozen=True, slots=True)
class ReplayResult:
    """Service of the requests that arrived during the event of a trace.

    :param trace: name of the trace.
    :param worth: earned benefit as a share of the offered benefit.
    :param ranks: service by work rank.
    :param small_in_time: share of the requests of small workspaces that met latency
        target and deadline.
    :param tries: mean number of attempts at agents for each request.
    :param wasted: share of the used slot time that went to requests without any
        benefit.
    :param records: records of the requests.
    """

    trace: str
    worth: float
    ranks: dict[RankName, RankResult]
    small_in_time: float
    tries: float
    wasted: float
    records: Sequence[ReplayRecord] = field(repr=False)


def summarize_replay(
    trace: ArrivalTrace, records: Iterable[ReplayRecord]
) -> ReplayResult:
    """Summarize the service of the requests that arrived during the event of a trace.

    :param trace: trace that was replayed.
    :param records: records of all its requests.
    """
    event_records = [
        each
        for each in records
        if trace.event_start_s <= each.arrival.at_s < trace.event_end_s
    ]
    by_rank = defaultdict(list)
    for each in event_records:
        by_rank[each.arrival.rank_load.name].append(each)
    offered_benefit = sum(
        each.arrival.rank_load.request_benefit for each in event_records
    )
    small_records = [each for each in event_records if each.arrival.is_small]
    finished_records = [each for each in event_records if each.finished_s is not None]
    used_slot_s = sum(each.arrival.service_s for each in finished_records)
    late_slot_s = sum(
        each.arrival.service_s
        for each in finished_records
        if each.earned_benefit <= 0.0
    )
    return ReplayResult(
        trace=trace.name,
        worth=sum(each.earned_benefit for each in event_records) / offered_benefit,
        ranks={name: _summarize_rank(each) for name, each in by_rank.items()},
        small_in_time=_compute_share(each.is_in_time for each in small_records),
        tries=sum(each.attempts for each in event_records) / len(event_records),
        wasted=late_slot_s / used_slot_s if used_slot_s else 0.0,
        records=event_records,
    )


def _summarize_rank(records: Sequence[ReplayRecord]) -> RankResult:
    waits_s = sorted(each.wait_s for each in records if each.started_s is not None)
    returned = [each for each in records if each.submissions > 1]
    return RankResult(
        requests=len(records),
        in_time=_compute_share(each.is_in_time for each in records),
        served=_compute_share(each.earned_benefit > 0.0 for each in records),
        wait_p95_s=waits_s[int(0.95 * (len(waits_s) - 1))] if waits_s else 0.0,
        returned=len(returned),
        served_at_return=_compute_share(each.earned_benefit > 0.0 for each in returned),
    )


def _compute_share(flags: Iterable[bool]) -> float:
    values = list(flags)
    return sum(values) / len(values) if values else 0.0
