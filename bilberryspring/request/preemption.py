"""Preemption of running work on one backend server by more urgent work.

A preempted stream is paused: the engine keeps what it has generated, so no work is
lost. Pausing never takes a rank below its minimum share of the slots, and a paused
request is resumed after ``MAX_PAUSE_S`` even if more urgent work is still queued.
"""

import math
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from bilberryspring.identifiers import RankName
from bilberryspring.request.ticket import Ticket
from bilberryspring.version.index import ConfigurationIndex

__all__ = [
    "MAX_PAUSE_S",
    "StreamControls",
    "RankPosition",
    "choose_ticket_to_pause",
    "choose_ticket_to_resume",
    "count_guaranteed_slots",
    "make_rank_positions",
]

MAX_PAUSE_S = 5.0


@dataclass(frozen=True, slots=True)
class StreamControls:
    """Callbacks that pause and resume one stream.

    :param pause: pauses the stream; returns whether the engine did so.
    :param resume: resumes the stream; returns whether the engine did so.
    """

    pause: Callable[[], Awaitable[bool]]
    resume: Callable[[], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class RankPosition:
    """Position and guaranteed share of a work rank.

    :param position: position by urgency; zero is the most urgent.
    :param minimum_share: share of the slots that pausing never takes from it.
    """

    position: int
    minimum_share: float


class _RankPositions(dict[RankName, RankPosition]):
    """Positions by rank; a rank that is not configured has the least urgent one."""

    def __missing__(self, rank: RankName) -> RankPosition:
        return next(reversed(self.values()))


def make_rank_positions(
    index: ConfigurationIndex, ranks_by_urgency: Sequence[RankName]
) -> Mapping[RankName, RankPosition]:
    """Return the position of every rank.

    :param index: configuration in force.
    :param ranks_by_urgency: ranks, the most urgent first; not empty.
    """
    shares = {rank.name: rank.minimum_share for rank in index.ranks_by_order}
    return _RankPositions(
        (name, RankPosition(position, shares.get(name, 0.0)))
        for position, name in enumerate(ranks_by_urgency)
    )


def count_guaranteed_slots(rank: RankPosition, slots: int) -> int:
    """Return the number of slots that a rank with queued work is guaranteed.

    :param rank: position and minimum share of the rank.
    :param slots: number of requests that run concurrently.

    >>> count_guaranteed_slots(RankPosition(position=1, minimum_share=0.2), slots=8)
    2
    """
    return math.ceil(rank.minimum_share * slots)


def choose_ticket_to_pause(
    running: Collection[Ticket],
    urgent: RankName,
    rank_positions: Mapping[RankName, RankPosition],
    slots: int,
) -> Ticket | None:
    """Return the running request to pause in favour of more urgent work.

    :param running: requests at the backend server, except those being paused.
    :param urgent: rank of the queued work.
    :param rank_positions: position and minimum share of every rank.
    :param slots: number of requests that run concurrently.
    :returns: the request that started last among those of the least urgent rank that
        may lose a slot, ``None`` if no request may be paused.
    """
    counts = Counter(ticket.rank for ticket in running)
    candidates = [
        ticket
        for ticket in running
        if ticket.stream_controls is not None
        and not ticket.has_reached_pause_limit
        and rank_positions[ticket.rank].position > rank_positions[urgent].position
        and counts[ticket.rank]
        > count_guaranteed_slots(rank_positions[ticket.rank], slots)
    ]
    return max(
        candidates,
        key=lambda ticket: (rank_positions[ticket.rank].position, ticket.started_s),
        default=None,
    )


def choose_ticket_to_resume(
    paused: Sequence[Ticket],
    queued: RankName | None,
    rank_positions: Mapping[RankName, RankPosition],
    now_s: float,
) -> Ticket | None:
    """Return the paused request to resume before queued work gets the free slot.

    :param paused: paused requests, the longest paused first.
    :param queued: rank of the queued work that is served next, ``None`` if none is
        queued.
    :param rank_positions: position and minimum share of every rank.
    :param now_s: monotonic time.
    :returns: a request that was paused for longer than ``MAX_PAUSE_S``, else the most
        urgent paused one if it is not less urgent than the queued work, else ``None``.
    """
    if not paused:
        return None
    if now_s - paused[0].paused_s > MAX_PAUSE_S:
        return paused[0]
    first = min(paused, key=lambda ticket: rank_positions[ticket.rank].position)
    if (
        queued is None
        or rank_positions[first.rank].position <= rank_positions[queued].position
    ):
        return first
    return None
