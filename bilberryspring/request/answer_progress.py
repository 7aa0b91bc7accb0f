"""What the caller of one request has of its answer."""

from dataclasses import dataclass

from bilberryspring.capability.backend_calls import AnswerHead, CallerAnswer
from bilberryspring.request.event_splitter import EventSplitter

__all__ = ["AnswerProgress"]


@dataclass(slots=True)
class AnswerProgress:
    """The caller's answer, and how much of it has gone out.

    :param splitter: whole events of a stream; it knows the last one's id.
    :param first_s: time to the first part, ``None`` before it.
    :param status: status that the caller got, zero before it.
    """

    answer: CallerAnswer
    splitter: EventSplitter
    first_s: float | None = None
    status: int = 0

    def start(self, head: AnswerHead, length_bytes: int | None, age_s: float) -> None:
        """Begin the caller's answer, unless it has begun.

        :param head: head of a server's answer.
        :param length_bytes: length of the body, ``None`` for a stream.
        :param age_s: time since the request was read.
        """
        if not self.answer.is_started:
            self.first_s = age_s
            self.status = head.status
            self.answer.start(head, length_bytes)
