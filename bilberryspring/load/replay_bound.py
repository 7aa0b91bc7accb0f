"""Upper bound of the benefit that any scheduler can earn on a trace.

The bound assumes that every arrival time and service time is known in advance.
"""

from collections.abc import Sequence

from bilberryspring.load.replay_trace import RANK_LOADS, Arrival, ArrivalTrace

__all__ = ["compute_worth_bound"]


def compute_worth_bound(trace: ArrivalTrace) -> float:
    """Return an upper bound of the worth that is earned in the event of a trace.

    A request that arrives during the event can run until the deadline of its rank has
    passed after the end of the event, so ranks with shorter deadlines have less slot
    time available. The bound fills that slot time in the order of benefit per second
    of service. It ignores arrival times, minimum shares, fairness, the load bound and
    the slots that requests outside the event occupy, so no scheduler reaches it.

    :param trace: arrivals of the replay.
    :returns: upper bound as a share of the offered benefit, from zero to one.

    >>> from bilberryspring.load.replay_trace import draw_trace
    >>> compute_worth_bound(draw_trace("calm", 1, servers=2, slots=4, duration_s=60.0))
    1.0
    """
    event_arrivals = [
        each
        for each in trace.arrivals
        if trace.event_start_s <= each.at_s < trace.event_end_s
    ]
    free_slot_s = _compute_slot_seconds(trace)
    reached_benefit = 0.0
    for arrival in sorted(event_arrivals, key=_compute_benefit_density, reverse=True):
        affected_deadlines_s = [
            deadline_s
            for deadline_s in free_slot_s
            if deadline_s >= arrival.rank_load.deadline_s
        ]
        taken_s = min(
            arrival.service_s, *(free_slot_s[each] for each in affected_deadlines_s)
        )
        for deadline_s in affected_deadlines_s:
            free_slot_s[deadline_s] -= taken_s
        reached_benefit += (
            arrival.rank_load.request_benefit * taken_s / arrival.service_s
        )
    return reached_benefit / _sum_benefit(event_arrivals)


def _compute_slot_seconds(trace: ArrivalTrace) -> dict[float, float]:
    """Return the slot time in seconds that requests can use, by deadline in seconds.

    The time of a deadline is shared by all requests with that deadline or a shorter
    one.
    """
    slots = trace.server_count * trace.slots_per_server
    event_s = trace.event_end_s - trace.event_start_s
    return {load.deadline_s: slots * (event_s + load.deadline_s) for load in RANK_LOADS}


def _compute_benefit_density(arrival: Arrival) -> float:
    return arrival.rank_load.request_benefit / arrival.service_s


def _sum_benefit(arrivals: Sequence[Arrival]) -> float:
    return sum(each.rank_load.request_benefit for each in arrivals)
