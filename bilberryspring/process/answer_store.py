"""Answers that an agent retains, bounded in bytes and in time.

The store also keeps the outcomes of completed and refused requests, for longer than the
answers themselves. They prevent a request that arrives late over an old connection from
running after the caller has received the outcome that it did not run.
"""

import time

from bilberryspring.identifiers import RequestId
from bilberryspring.request.buffered_response import BufferedResponse
from bilberryspring.request.errors import Outcome

__all__ = ["AnswerStore", "make_answer_store"]

# Longer than a frame can be in transit on a connection that is still in use.
OUTCOME_RETENTION_S = 900.0


class AnswerStore:
    """Answers by request, and outcomes of requests whose answer is gone.

    :param budget_bytes: above this total size of all answers, the oldest completed ones
        are evicted.
    :param retention_s: for how long a completed answer is retained.
    """

    def __init__(self, budget_bytes: int, retention_s: float):
        self.budget_bytes = budget_bytes
        self.retention_s = retention_s
        self._answers: dict[RequestId, BufferedResponse] = {}
        self._outcomes: dict[RequestId, tuple[float, Outcome]] = {}

    def add(self, answer: BufferedResponse) -> None:
        """Add the answer of a new request.

        :param answer: its answer.
        """
        self._answers[answer.request_id] = answer

    def find(self, request_id: RequestId) -> BufferedResponse | None:
        """Return the answer of a request, ``None`` if there is none.

        :param request_id: id of the request.
        """
        return self._answers.get(request_id)

    def find_outcome(self, request_id: RequestId) -> Outcome | None:
        """Return the outcome of a request without an answer, ``None`` if unknown.

        :param request_id: id of the request.
        """
        entry = self._outcomes.get(request_id)
        return None if entry is None else entry[1]

    def record_outcome(self, request_id: RequestId, outcome: Outcome) -> None:
        """Record the outcome of a request.

        :param request_id: id of the request.
        :param outcome: its outcome; after any, the request is not run here.
        """
        self._outcomes[request_id] = (time.monotonic(), outcome)

    def list_unfinished(self) -> list[BufferedResponse]:
        """Return the answers that are not complete."""
        return [answer for answer in self._answers.values() if not answer.ended]

    def list_undelivered(self) -> list[BufferedResponse]:
        """Return the completed answers that no caller has received in full."""
        return [
            answer
            for answer in self._answers.values()
            if answer.ended and not answer.delivered
        ]

    @property
    def retained_bytes(self) -> int:
        """Total size of all answers."""
        return sum(answer.size_bytes for answer in self._answers.values())

    def __len__(self) -> int:
        return len(self._answers)

    def evict_expired(self, now_s: float) -> None:
        """Evict completed answers past their retention or above the byte budget.

        :param now_s: monotonic time.
        """
        completed = [answer for answer in self._answers.values() if answer.ended]
        completed.sort(key=lambda answer: answer.ended_s or 0.0)
        excess_bytes = self.retained_bytes - self.budget_bytes
        for answer in completed:
            expired = now_s - (answer.ended_s or 0.0) > self.retention_s
            if not expired and excess_bytes <= 0:
                break
            excess_bytes -= answer.size_bytes
            del self._answers[answer.request_id]
            self.record_outcome(answer.request_id, answer.outcome)
        self._remove_expired_outcomes(now_s)

    def _remove_expired_outcomes(self, now_s: float) -> None:
        for request_id, (noted_s, _) in list(self._outcomes.items()):
            if now_s - noted_s <= OUTCOME_RETENTION_S:
                break
            del self._outcomes[request_id]


def make_answer_store(budget_bytes: int, retention_s: float) -> AnswerStore:
    """Return an empty store.

    :param budget_bytes: above this total size of all answers, the oldest completed ones
        are evicted.
    :param retention_s: for how long a completed answer is retained.

    >>> len(make_answer_store(1_000, 60.0))
    0
    """
    return AnswerStore(budget_bytes, retention_s)
