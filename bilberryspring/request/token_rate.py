"""Measured token rate of an engine for one kind of work."""

import time

from bilberryspring.request.decaying_sum import DecayingSum

__all__ = ["TokenRate"]

RATE_TIME_CONSTANT_S = 60.0


class TokenRate:
    """Measured tokens per second of one kind of work.

    :param assumed_per_s: estimate in tokens per second until work was recorded.
    """

    def __init__(self, assumed_per_s: float):
        self._assumed_per_s = assumed_per_s
        self._tokens = DecayingSum(RATE_TIME_CONSTANT_S)
        self._duration = DecayingSum(RATE_TIME_CONSTANT_S)

    def record(self, tokens: int, duration_s: float) -> None:
        """Record finished work.

        :param tokens: tokens that were processed.
        :param duration_s: time that it took.
        """
        now_s = time.monotonic()
        self._tokens.add(tokens, now_s)
        self._duration.add(duration_s, now_s)

    def estimate(self) -> float:
        """Return the estimate in tokens per second, at least one."""
        now_s = time.monotonic()
        duration_s = self._duration.value(now_s)
        if duration_s <= 0.0:
            return self._assumed_per_s
        return max(self._tokens.value(now_s) / duration_s, 1.0)
