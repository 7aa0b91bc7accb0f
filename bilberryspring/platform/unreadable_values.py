"""Count received values that could not be decoded, and log them at a bounded rate.

A server may send the same unreadable value with every response, thousands of times a
second.
"""

import time
from collections import Counter
from collections.abc import Callable

from bilberryspring.process.logs import log_event

__all__ = ["UnreadableValues", "make_unreadable_values"]

LOG_INTERVAL_S = 10.0
MAX_LOGGED_VALUE_BYTES = 80


class UnreadableValues:
    """Counter of unreadable values by the name of what they should have held.

    :param read_clock: monotonic clock, in seconds.
    :ivar counts: number of unreadable values by name.
    """

    def __init__(self, read_clock: Callable[[], float] = time.monotonic):
        self._read_clock = read_clock
        self.counts: Counter[str] = Counter()
        self._logged_count: Counter[str] = Counter()
        self._logged_s: dict[str, float] = {}

    def record(self, name: str, sender: str, value: bytes, reason: str) -> None:
        """Count one value, and log it unless its name was logged recently.

        :param name: what the value should have held; from a closed set, since counts
            and log times are kept for each.
        :param sender: id of the sender.
        :param value: the value as it was received.
        :param reason: why it could not be decoded.
        """
        self.counts[name] += 1
        now_s = self._read_clock()
        if now_s - self._logged_s.get(name, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._logged_s[name] = now_s
        log_event(
            "value_unreadable",
            level="WARNING",
            name=name,
            peer=sender,
            value=value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"),
            reason=reason,
            since_last_line=self.counts[name] - self._logged_count[name],
        )
        self._logged_count[name] = self.counts[name]


def make_unreadable_values(
    read_clock: Callable[[], float] = time.monotonic,
) -> UnreadableValues:
    """Return a counter without values.

    :param read_clock: monotonic clock, in seconds.
    """
    return UnreadableValues(read_clock)
