"""Records of the requests of a load test, one for each request."""

from dataclasses import asdict, dataclass, field
from enum import Enum

__all__ = ["CallOutcome", "CallRecord"]


class CallOutcome(Enum):
    """Outcome of a request as its caller observed it."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    TRUNCATED = "truncated"
    UNSENT = "unsent"


@dataclass(slots=True)
class CallRecord:
    """One request as its caller observed it.

    Times are in seconds from the start of the run. Latencies are measured from the
    intended send time, not from the actual one, to avoid coordinated omission: a caller
    that sends late must not hide a delay.

    :param name: name of the request in the plan.
    :param request_id: identifier that the router returned for the last attempt; without
        a response, the one that was sent.
    :param workspace: workspace that sent the request.
    :param rank: work rank.
    :param route: ``chat`` or the route of a plain service.
    :param intended_s: intended send time.
    :param sent_s: time at which the first attempt was sent.
    :param first_token_s: time of the first token; zero without one.
    :param finished_s: time of the last byte of the last attempt.
    :param gaps_s: times between consecutive tokens.
    :param outcome: outcome of the last attempt.
    :param status: HTTP status; zero without a response.
    :param problem: error kind of the problem document, or ``client:`` and the name of
        an exception of the HTTP client; empty without an error.
    :param stated_outcome: ``not_run``, ``ran`` or ``unknown``, as the problem document
        states it; empty without one.
    :param retry_after_s: delay that the response states before another attempt; zero if
        it states none.
    :param tries: attempts sent, including retries after ``Retry-After``.
    :param prompt_tokens: prompt tokens that the response reports.
    :param cached_tokens: of these, tokens served from a prefix cache.
    :param reusable_tokens: of these, tokens that an earlier turn had computed.
    :param answer_tokens: tokens received.
    :param last_try_at_s: time of sending the last attempt, on the monotonic clock.
    """

    name: str
    request_id: str
    workspace: str
    rank: str
    route: str
    intended_s: float
    sent_s: float = 0.0
    first_token_s: float = 0.0
    finished_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)
    outcome: CallOutcome = CallOutcome.UNSENT
    status: int = 0
    problem: str = ""
    stated_outcome: str = ""
    retry_after_s: float = 0.0
    tries: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    reusable_tokens: int = 0
    answer_tokens: int = 0
    last_try_at_s: float = 0.0

    def to_json(self) -> dict[str, object]:
        """Return the record as JSON values, without the gaps between tokens."""
        members = asdict(self)
        del members["gaps_s"]
        members["outcome"] = self.outcome.value
        return members
