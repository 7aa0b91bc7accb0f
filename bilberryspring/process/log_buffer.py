"""Bounded, non-blocking buffer between logging code and the output stream.

Logging never waits for the stream: lines are queued in memory and written by a
background thread. If the stream is full, slow or closed, lines are dropped and counted
instead of delaying requests.
"""

import threading
import time
from collections import Counter
from collections.abc import Callable

import xxhash

from bilberryspring.process.events import EventClass

__all__ = ["LineRateLimiter", "LogBuffer", "make_log_buffer"]

MAX_BUFFER_BYTES = 4_000_000
# Routine lines may fill only this share of the buffer, which leaves space for lines
# about failures and state.
MAX_ROUTINE_BUFFER_RATIO = 0.25
# At about 300 bytes per line, at most 60 and 150 KB per second.
MAX_LINES_PER_S = {EventClass.ROUTINE: 200.0, EventClass.FAILED: 500.0}
# Above these rates, the lines of one in this many requests are still logged. The choice
# is a hash of the request id, so every process logs the same requests.
REQUESTS_PER_SAMPLE = 16
REPORT_INTERVAL_S = 1.0


class LineRateLimiter:
    """Token bucket that limits the log lines of one event class.

    Its burst capacity is the number of lines of one second.

    :param lines_per_s: sustained rate.

    >>> rate = LineRateLimiter(2.0)
    >>> [rate.try_acquire(0.0) for _ in range(3)], rate.try_acquire(1.0)
    ([True, True, False], True)
    """

    def __init__(self, lines_per_s: float):
        self._lines_per_s = lines_per_s
        self._available_lines = lines_per_s
        self._refilled_s: float | None = None

    def try_acquire(self, now_s: float) -> bool:
        """Consume one line if the rate allows it, and return whether it did.

        :param now_s: monotonic time in seconds.
        """
        if self._refilled_s is not None:
            refill = (now_s - self._refilled_s) * self._lines_per_s
            self._available_lines = min(
                self._available_lines + refill, self._lines_per_s
            )
        self._refilled_s = now_s
        if self._available_lines < 1.0:
            return False
        self._available_lines -= 1.0
        return True


class LogBuffer:
    """Queue of log lines with a background thread that writes them.

    :param write: writes bytes to the stream; may block, or raise ``OSError``.
    :param format_drop_report: returns a log line with the number of dropped lines by
        event.
    :param max_bytes: upper bound of the queued bytes.
    """

    def __init__(
        self,
        write: Callable[[bytes], None],
        format_drop_report: Callable[[dict[str, int]], str],
        max_bytes: int = MAX_BUFFER_BYTES,
    ):
        self._write = write
        self._format_drop_report = format_drop_report
        self._max_bytes = max_bytes
        self._rate_limiters = {
            event_class: LineRateLimiter(lines_per_s)
            for event_class, lines_per_s in MAX_LINES_PER_S.items()
        }
        self._lines: list[bytes] = []
        self._queued_bytes = 0
        self._dropped_by_event: Counter[str] = Counter()
        self._last_report_s = 0.0
        self._work_available = threading.Condition()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def close(self, timeout_s: float) -> None:
        """Write the queued lines, then stop the writer thread.

        :param timeout_s: longest wait for the writer thread, in seconds; lines that are
            still queued then are lost.
        """
        with self._work_available:
            self._is_closing = True
            self._work_available.notify()
        self._thread.join(timeout_s)

    def admit(self, event: str, event_class: EventClass, request_id: str) -> bool:
        """Return whether the rate limits admit a line; count it as dropped if not.

        Callers check this before they format the line, because formatting costs more.

        :param event: name of the event.
        :param event_class: class of the event, which selects the rate limit.
        :param request_id: request that the line belongs to, empty for none; the lines
            of sampled requests are always admitted.
        """
        limiter = self._rate_limiters.get(event_class)
        if (
            limiter is None
            or limiter.try_acquire(time.monotonic())
            or _is_sampled(request_id)
        ):
            return True
        self._count_dropped(event)
        return False

    def put(self, line: str, event: str, event_class: EventClass) -> None:
        """Queue a line, or count it as dropped if the buffer is full; never block.

        :param line: the line, with its line break.
        :param event: name of the event.
        :param event_class: class of the event, which bounds its share of the buffer.
        """
        data = line.encode("utf-8", "backslashreplace")
        limit_bytes = self._max_bytes
        if event_class is EventClass.ROUTINE:
            limit_bytes *= MAX_ROUTINE_BUFFER_RATIO
        with self._work_available:
            fits = self._queued_bytes + len(data) <= limit_bytes
            if fits:
                self._lines.append(data)
                self._queued_bytes += len(data)
                self._work_available.notify()
        if not fits:
            self._count_dropped(event)

    def _count_dropped(self, event: str) -> None:
        with self._work_available:
            self._dropped_by_event[event] += 1
            self._work_available.notify()

    def _run(self) -> None:
        while True:
            with self._work_available:
                while not (self._lines or self._dropped_by_event or self._is_closing):
                    self._work_available.wait()
                is_closing = self._is_closing
                lines, self._lines = self._lines, []
                self._queued_bytes = 0
                lines += self._take_drop_report(time.monotonic(), is_closing)
                if not lines and not is_closing:
                    self._work_available.wait(REPORT_INTERVAL_S)
                    continue
            try:
                self._write(b"".join(lines))
            except OSError:
                # The error cannot be logged, since the log stream itself failed; later
                # writes may succeed.
                with self._work_available:
                    self._dropped_by_event["unwritten"] += len(lines)
                    if not self._is_closing:
                        self._work_available.wait(REPORT_INTERVAL_S)
            if is_closing:
                return

    def _take_drop_report(self, now_s: float, is_closing: bool) -> list[bytes]:
        is_due = now_s - self._last_report_s >= REPORT_INTERVAL_S
        if not self._dropped_by_event or not (is_due or is_closing):
            return []
        self._last_report_s = now_s
        line = self._format_drop_report(dict(sorted(self._dropped_by_event.items())))
        self._dropped_by_event.clear()
        return [line.encode()]


def _is_sampled(request_id: str) -> bool:
    if not request_id:
        return False
    return xxhash.xxh3_64_intdigest(request_id.encode()) % REQUESTS_PER_SAMPLE == 0


def make_log_buffer(
    write: Callable[[bytes], None], format_drop_report: Callable[[dict[str, int]], str]
) -> LogBuffer:
    """Return a buffer that is not started.

    :param write: writes bytes to the stream; may block, or raise ``OSError``.
    :param format_drop_report: returns a log line with the number of dropped lines by
        event.
    """
    return LogBuffer(write, format_drop_report)
