"""Parser for log lines that builds the timeline of a request.

It also finds the log line that best explains why the request failed, its cause.
"""

import json
import re
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path

from bilberryspring.process.events import EVENTS, EventClass
from bilberryspring.process.result_fields import COMPLETE_RESULT

__all__ = [
    "LogLine",
    "RequestTimeline",
    "parse_log_line",
    "read_log_lines",
    "build_request_timeline",
]

PAIR_PATTERN = re.compile(r'([A-Za-z_][A-Za-z0-9_]*)=("(?:[^"\\]|\\.)*"|[^ "]*)')
# A change of process state up to this long before a request may explain its failure.
CONTEXT_WINDOW = timedelta(seconds=15)
# From the innermost to the outermost component: if several lines report the same
# failure, the first of these events is its cause and the others only propagate it.
CAUSE_PRECEDENCE = (
    "request_failed",
    "claim_refused",
    "request_refused",
    "engine_stream_silent",
    "service_call_silent",
    "request_abandoned",
    "request_ended",
    "try_failed",
    "request_answered",
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed log line.

    :param time: timestamp of the line, with its time zone.
    :param event: name of the event.
    :param fields: all pairs of the line by name, ``time`` and ``event`` included.
    :param text: the line without its line break.
    """

    time: datetime
    event: str
    fields: dict[str, str]
    text: str

    @property
    def request_id(self) -> str:
        """Id of the request that the line belongs to; empty for none."""
        return self.fields.get("request_id", "")

    @property
    def is_failure(self) -> bool:
        """Whether the line reports that a request or an attempt failed."""
        if self.event not in EVENTS:
            return False
        is_failed_event = EVENTS[self.event].event_class is EventClass.FAILED
        return (
            is_failed_event
            or self.fields.get("result", COMPLETE_RESULT) != COMPLETE_RESULT
        )


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """Log lines of one request in order of time.

    :param lines: lines that carry the id of the request.
    :param context: lines about the state of processes, logged shortly before or during
        the request; they carry no request id.
    :param cause: line that states the cause of the failure; None if the request got
        a complete answer, or if no line reports a failure.
    """

    lines: Sequence[LogLine]
    context: Sequence[LogLine]
    cause: LogLine | None


def parse_log_line(text: str) -> LogLine | None:
    """Parse one log line.

    :param text: the line, with or without its line break.
    :returns: the parsed line, or None if it has no event or no timestamp with a time
        zone, such as a line of another program.

    >>> text = "time=2026-12-04T08:00:00.000+00:00 level=INFO event=ready"
    >>> parse_log_line(text).event
    'ready'
    >>> parse_log_line("Traceback (most recent call last):") is None
    True
    """
    fields = {}
    for name, value in PAIR_PATTERN.findall(text):
        if value.startswith('"'):
            try:
                value = json.loads(value)
            except ValueError:
                return None
        fields.setdefault(name, value)
    try:
        time = datetime.fromisoformat(fields.get("time", ""))
    except ValueError:
        return None
    if time.tzinfo is None or "event" not in fields:
        return None
    return LogLine(time, fields["event"], fields, text.rstrip("\n"))


def read_log_lines(name: str) -> list[str]:
    """Read the lines of a log file or of standard input.

    :param name: path of the file, or ``-`` for standard input.
    :raises OSError: if the file cannot be read.
    """
    if name == "-":
        return sys.stdin.read().splitlines()
    text = Path(name).read_text(encoding="utf-8", errors="replace")
    return text.splitlines()


def build_request_timeline(request_id: str, texts: Iterable[str]) -> RequestTimeline:
    """Build the timeline of one request from the logs of several processes.

    :param request_id: id of the request.
    :param texts: log lines of any processes, in any order; lines that cannot be parsed
        are skipped.
    :returns: the timeline; without lines if no line carries the id.
    """
    parsed = [line for line in map(parse_log_line, texts) if line is not None]
    request_lines = sorted(
        (line for line in parsed if line.request_id == request_id),
        key=lambda line: line.time,
    )
    if not request_lines:
        return RequestTimeline([], [], None)
    since, until = request_lines[0].time - CONTEXT_WINDOW, request_lines[-1].time
    context = sorted(
        (
            line
            for line in parsed
            if not line.request_id
            and since <= line.time <= until
            and line.event in EVENTS
            and EVENTS[line.event].event_class is EventClass.STATE
        ),
        key=lambda line: line.time,
    )
    return RequestTimeline(request_lines, context, _find_cause(request_lines))


def _find_cause(lines: Sequence[LogLine]) -> LogLine | None:
    answers = [line for line in lines if line.event == "request_answered"]
    if answers and not answers[-1].is_failure:
        return None
    failures = [line for line in lines if line.is_failure]
    if not failures:
        return None
    last_attempt = max((_read_attempt(line) for line in failures), default=0)
    last_attempt_failures = [
        line for line in failures if _read_attempt(line) in (0, last_attempt)
    ]
    return min(
        last_attempt_failures,
        key=lambda line: (_get_cause_precedence(line), -line.time.timestamp()),
    )


def _read_attempt(line: LogLine) -> int:
    attempt = line.fields.get("attempt", "")
    return int(attempt) if attempt.isdigit() else 0


def _get_cause_precedence(line: LogLine) -> int:
    if line.event in CAUSE_PRECEDENCE:
        return CAUSE_PRECEDENCE.index(line.event)
    return len(CAUSE_PRECEDENCE)
