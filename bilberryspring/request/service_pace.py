"""Silence of a plain service, judged by how long its answers took.

A service that works and a connection that lost its path look alike: nothing arrives. A
service cannot be asked about a call, so a call that may be repeated is sent once more,
over a new connection, when it is silent for far longer than answers take.
"""

from bilberryspring.request.retry import make_retry_budget

__all__ = ["HedgingPolicy", "make_service_pace"]

MIN_SILENCE_S = 2.0
# A call is silent after this many times the slowest of the recent answers.
SILENCE_FACTOR = 3.0
# What one more answer leaves of the slowest one before it.
SLOWEST_DECAY = 0.98
HEDGE_RATIO = 0.05


class HedgingPolicy:
    """How long the answers of one plain service take."""

    def __init__(self) -> None:
        self._slowest_s = 0.0
        self._hedge_budget = make_retry_budget(HEDGE_RATIO)

    @property
    def silence_timeout_s(self) -> float:
        """Time without a byte after which a call counts as silent."""
        return max(MIN_SILENCE_S, SILENCE_FACTOR * self._slowest_s)

    def record_call(self) -> None:
        """Note a call, which earns a share of a second one."""
        self._hedge_budget.note_first_try()

    def record_response(self, duration_s: float) -> None:
        """Note a whole answer.

        :param duration_s: time from the call to its end.

        >>> pace = make_service_pace()
        >>> pace.record_response(4.0)
        >>> pace.silence_timeout_s
        12.0
        """
        self._slowest_s = max(duration_s, SLOWEST_DECAY * self._slowest_s)

    def try_spend_hedge(self) -> bool:
        """Take a second call out of the budget, which bounds the service's load."""
        return self._hedge_budget.spend()


def make_service_pace() -> HedgingPolicy:
    """Return the pace of a service that has answered nothing yet."""
    return HedgingPolicy()
