"""Progress of a response that is relayed to the caller."""

from dataclasses import dataclass, field

from bilberryspring.capability.backend_calls import (
    BackendResponseHead,
    CallerResponse,
    Exchange,
)
from bilberryspring.capability.routing import PoolLimits
from bilberryspring.policy.quarantine import Content
from bilberryspring.request.event_splitter import EventSplitter
from bilberryspring.request.reservations import Reservation

__all__ = ["Attempt", "ResponseProgress"]

# A server that crashes when it begins to answer a request does so within this time
# after the first event.
CRASH_DELAY_S = 0.25


@dataclass(slots=True, eq=False)
class Attempt:
    """A request that was sent to a server; its identity is its token in the record.

    :param reservation: capacity reserved on the server.
    :param exchange: the request and its response.
    :param sent_s: monotonic time before it was sent.
    :param head: head of the response; ``None`` until it was read.
    :param is_ended: whether the response ended and its capacity was released.
    """

    reservation: Reservation
    exchange: Exchange
    sent_s: float
    head: BackendResponseHead | None = None
    is_ended: bool = False


@dataclass(slots=True)
class ResponseProgress:
    """Response to the caller, and how much of it has been sent.

    :param answer: response to the caller.
    :param splitter: splitter of a streamed response, with the id of its last event.
    :param pool: pool that serves the request.
    :param must_end_s: boot time by which the response must end.
    :param replacement: attempt at another server that has taken over from the current
        one and is not relayed yet; ``None`` if there is none.
    :param time_to_first_byte_s: time from reading the request to the head of the
        response, in seconds; ``None`` before it.
    :param status: HTTP status code sent to the caller; zero before it.
    :param contents: contents of the request that may crash servers.
    :param event_count: events of a stream that arrived from the current server.
    :param is_proven: whether the server of the current try has begun to answer and has
        not crashed.
    """

    answer: CallerResponse
    splitter: EventSplitter
    pool: PoolLimits
    must_end_s: float
    replacement: Attempt | None = None
    time_to_first_byte_s: float | None = None
    status: int = 0
    contents: tuple[Content, ...] = ()
    event_count: int = 0
    is_proven: bool = False
    _first_event_s: float | None = field(default=None, init=False)

    def begin_try(self) -> None:
        """Record that the request is sent to a server."""
        self._first_event_s, self.is_proven, self.event_count = None, False, 0

    def record_events(self, now_s: float) -> bool:
        """Record that complete events of a stream arrived from the current server.

        :param now_s: monotonic time.
        :returns: whether these prove for the first time that the contents of the
            request do not crash the server.
        """
        if self._first_event_s is None:
            self._first_event_s = now_s
        if self.is_proven or now_s - self._first_event_s < CRASH_DELAY_S:
            return False
        self.is_proven = True
        return True

    def start(
        self, head: BackendResponseHead, length_bytes: int | None, age_s: float
    ) -> None:
        """Start the response to the caller, unless it has already started.

        :param head: status and headers of the backend server's response.
        :param length_bytes: length of the body; ``None`` for a stream.
        :param age_s: time since the request was read.
        """
        if not self.answer.is_started:
            self.time_to_first_byte_s = age_s
            self.status = head.status
            self.answer.start(head, length_bytes)
