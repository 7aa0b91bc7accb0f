"""Hedging of calls to a plain service: when a silent call is sent a second time.

A service that is still working and a network path that was lost look the same: nothing
arrives. A plain service has no way to query a call, so a repeatable call is sent once
more, over a new connection, after a silence far longer than recent response times.
"""

from bilberryspring.request.retry import make_retry_budget

__all__ = ["HedgingPolicy", "make_hedging_policy"]

MIN_SILENCE_S = 2.0
# Silence timeout as a multiple of the slowest recent response.
SILENCE_FACTOR = 3.0
# Decay factor that each response applies to the stored slowest response time.
SLOWEST_DECAY = 0.98
HEDGE_RATIO = 0.05


class HedgingPolicy:
    """Silence timeout and budget of second calls for one plain service."""

    def __init__(self) -> None:
        self._slowest_s = 0.0
        self._hedge_budget = make_retry_budget(HEDGE_RATIO)

    @property
    def silence_timeout_s(self) -> float:
        """Time without a received byte after which a call counts as silent."""
        return max(MIN_SILENCE_S, SILENCE_FACTOR * self._slowest_s)

    def record_call(self) -> None:
        """Record a call, which adds ``HEDGE_RATIO`` of a second call to the budget."""
        self._hedge_budget.record_first_attempt()

    def record_response(self, duration_s: float) -> None:
        """Record a complete response.

        :param duration_s: time from sending the call to the end of the response.

        >>> policy = make_hedging_policy()
        >>> policy.record_response(4.0)
        >>> policy.silence_timeout_s
        12.0
        """
        self._slowest_s = max(duration_s, SLOWEST_DECAY * self._slowest_s)

    def try_spend_hedge(self) -> bool:
        """Spend a second call from the budget, which limits the extra load.

        :returns: whether the budget allows it; if not, nothing is spent.
        """
        return self._hedge_budget.spend()


def make_hedging_policy() -> HedgingPolicy:
    """Return the policy of a service that has not responded yet."""
    return HedgingPolicy()
