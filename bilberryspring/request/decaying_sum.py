"""Sums whose terms decay exponentially with age."""

import math

__all__ = ["DecayingSum"]


class DecayingSum:
    """Exponentially decaying sum.

    :param time_constant_s: age at which a term has decayed to ``1 / e`` of its value.

    >>> sent = DecayingSum(time_constant_s=5.0)
    >>> sent.add(50.0, now_s=0.0)
    >>> sent.rate(now_s=0.0)
    10.0
    """

    __slots__ = ("_time_constant_s", "_updated_s", "_value")

    def __init__(self, time_constant_s: float):
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add a term.

        :param amount: value of the term.
        :param now_s: monotonic time of the term.
        """
        self._value = self.value(now_s) + amount
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        """Return the decayed sum.

        :param now_s: monotonic time.
        """
        age_s = max(0.0, now_s - self._updated_s)
        return self._value * math.exp(-age_s / self._time_constant_s)

    def rate(self, now_s: float) -> float:
        """Return the sum of the terms per second, averaged over the time constant.

        :param now_s: monotonic time.
        """
        return self.value(now_s) / self._time_constant_s
