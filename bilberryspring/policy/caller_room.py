"""Which connections of callers are ended first when a process has no room for more.

Load pattern: crowds of callers that keep connections or memory without becoming an
ordinary request. They send a body almost to its end, send or read very slowly, or send
nothing at all, and come again when they are refused. An ordinary caller sends its
request as soon as it has connected and reads its response, so it waits for little. What
has waited for longest is ended first, and what is least likely to become a response
counts as having waited for longer. A request in progress is never ended for room,
unless its caller sent many more ahead.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

__all__ = [
    "CallerState",
    "CallerView",
    "choose_ended",
    "compute_connection_limit",
    "compute_memory_limit",
    "split_sockets",
]

# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# Sockets that are kept for the store, the other routers, listeners and logs.
KEPT_SOCKETS = 16
# Memory of an idle process.
BASE_MEMORY_MIB = 40
# Share of the rest that requests and responses may each hold. Their buffers are copied
# while they are sent, and the kernel holds what has not been read yet.
MEMORY_SHARE = 0.2
MIN_MEMORY_MIB = 4
# Beside the largest message, what the kernel holds of it is counted.
LARGEST_MARGIN = 1.25
MIB = 1024 * 1024
BACKLOG_SHARE = 0.25
MAX_BACKLOG = 1024


class CallerState(Enum):
    """What a caller's connection waits for."""

    REFUSED = "refused"
    """That the caller reads a refusal and closes the connection."""
    UNREAD = "unread"
    """That the caller reads a response."""
    RECEIVING = "receiving"
    """The rest of a request."""
    AHEAD = "ahead"
    """A response, on a connection with many requests sent ahead."""
    UNUSED = "unused"
    """The first request."""
    IDLE = "idle"
    """The next request."""
    WORKING = "working"
    """A response of this process."""


# Each second of a wait counts as this many.
_WEIGHTS = {
    CallerState.REFUSED: 8.0,
    CallerState.UNREAD: 4.0,
    CallerState.RECEIVING: 4.0,
    CallerState.AHEAD: 4.0,
    CallerState.UNUSED: 2.0,
    CallerState.IDLE: 1.0,
}


@dataclass(frozen=True, slots=True)
class CallerView:
    """A caller's connection as the decision sees it.

    :param state: what it waits for.
    :param waited_s: for how long, in seconds.
    """

    state: CallerState
    waited_s: float


def choose_ended(views: Sequence[CallerView], count: int) -> list[int]:
    """Return the positions of the connections to end, first those to end first.

    :param views: the connections.
    :param count: number of connections to end; fewer are returned if the others have a
        request in progress.

    >>> views = [CallerView(CallerState.IDLE, 9), CallerView(CallerState.RECEIVING, 3)]
    >>> choose_ended(views, 1)
    [1]
    """
    candidates = [
        (-each.waited_s * _WEIGHTS[each.state], number)
        for number, each in enumerate(views)
        if each.state is not CallerState.WORKING
    ]
    return [number for _, number in sorted(candidates)[:count]]


def compute_connection_limit(max_descriptors: int) -> int:
    """Return how many sockets callers and the requests in progress may have.

    :param max_descriptors: descriptors that the process may have.

    >>> compute_connection_limit(1535), compute_connection_limit(64)
    (1319, 24)
    """
    sockets = max_descriptors - min(FILE_DESCRIPTORS, max_descriptors // 2)
    return max(sockets - KEPT_SOCKETS, sockets * 3 // 4)


def split_sockets(sockets: int) -> tuple[int, int]:
    """Return how many connections a listener keeps, and how many may wait for it.

    Those that wait are accepted all at once, before others can be ended for them.

    :param sockets: sockets that both may have.

    >>> split_sockets(1000)
    (750, 250)
    """
    backlog = min(max(int(sockets * BACKLOG_SHARE), 1), MAX_BACKLOG)
    return sockets - backlog, backlog


def compute_memory_limit(
    machine_mib: float,
    usual_bytes: int,
    largest_bytes: int,
    base_mib: float = BASE_MEMORY_MIB,
) -> int:
    """Return how much memory requests, or responses, may hold in total.

    One message of the largest size always fits.

    :param machine_mib: memory of the machine; zero if it is not known.
    :param usual_bytes: the bound on a machine with much memory.
    :param largest_bytes: size of the largest message.
    :param base_mib: memory of the idle process.

    >>> compute_memory_limit(152, 48 * MIB, 4 * MIB) // MIB
    22
    """
    limit_bytes = usual_bytes
    if machine_mib:
        share_mib = max((machine_mib - base_mib) * MEMORY_SHARE, MIN_MEMORY_MIB)
        limit_bytes = min(usual_bytes, int(share_mib * MIB))
    return max(limit_bytes, int(LARGEST_MARGIN * largest_bytes))
