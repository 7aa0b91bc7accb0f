"""Progress of a response that is relayed to the caller."""

from dataclasses import dataclass

from bilberryspring.capability.backend_calls import BackendResponseHead, CallerResponse
from bilberryspring.request.event_splitter import EventSplitter

__all__ = ["ResponseProgress"]


@dataclass(slots=True)
class ResponseProgress:
    """Response to the caller, and how much of it has been sent.

    :param answer: response to the caller.
    :param splitter: splitter of a streamed response, with the id of its last event.
    :param time_to_first_byte_s: time from reading the request to the head of the
        response, in seconds; ``None`` before it.
    :param status: HTTP status code sent to the caller; zero before it.
    """

    answer: CallerResponse
    splitter: EventSplitter
    time_to_first_byte_s: float | None = None
    status: int = 0

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
