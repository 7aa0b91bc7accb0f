"""Token bucket rate limiter."""

from collections.abc import Callable

__all__ = ["TokenBucket"]


class TokenBucket:
    """Token bucket whose capacity is the tokens of one second.

    :param rate_per_s: tokens added per second; zero or less for no limit.
    :param clock: function that returns the time in seconds.
    """

    def __init__(self, rate_per_s: float, clock: Callable[[], float]):
        self.rate_per_s = rate_per_s
        self._clock = clock
        self._tokens = rate_per_s
        self._refilled_s = clock()

    def take(self, reserved_per_s: float = 0.0) -> bool:
        """Take one token if one is available.

        :param reserved_per_s: part of the rate that other use consumes.
        :returns: whether a token was taken; always true without a limit.

        >>> bucket = TokenBucket(1, lambda: 0.0)
        >>> bucket.take(), bucket.take()
        (True, False)
        """
        if self.rate_per_s <= 0:
            return True
        now_s = self._clock()
        available_per_s = max(self.rate_per_s - reserved_per_s, 0.0)
        refilled_tokens = self._tokens + (now_s - self._refilled_s) * available_per_s
        self._tokens = min(refilled_tokens, self.rate_per_s)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
