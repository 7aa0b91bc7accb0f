"""Structured logging: one line of key=value pairs per event, on standard output."""

import json
import os
import sys
from datetime import datetime
from enum import Enum
from typing import Any, TextIO

from loguru import logger

from bilberryspring.process.events import EVENTS, EventClass
from bilberryspring.process.log_buffer import LogBuffer, make_log_buffer

__all__ = ["configure_logs", "close_logs", "log_event", "format_pairs"]

LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"
# Longest wait for the output stream to accept the last lines at process exit.
CLOSE_TIMEOUT_S = 1.0

# Holds the buffer in use; empty until logging is configured.
_buffers: list[LogBuffer] = []


def format_pairs(fields: dict[str, object]) -> str:
    """Format fields as ``key=value`` pairs, with quotes where a value needs them.

    :param fields: values by field name, in output order.
    :returns: text without a line break.

    >>> format_pairs({"event": "started", "detail": "port in use"})
    'event=started detail="port in use"'
    """
    return " ".join(f"{name}={_format_value(value)}" for name, value in fields.items())


def _format_value(value: object) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and text.isprintable() and not any(char in text for char in ' "='):
        return text
    return json.dumps(text)


def configure_logs(
    level: str = "INFO", stream: TextIO | None = None, **context: object
) -> None:
    """Configure logging to a stream through a non-blocking buffer.

    :param level: lowest level that is logged, as a loguru level name.
    :param stream: output stream with a file descriptor; None for standard output.
    :param context: fields added to every line, such as the instance.
    """
    close_logs()
    prefix = format_pairs(context)
    descriptor = (stream or sys.stdout).fileno()
    buffer = make_log_buffer(
        lambda data: _write_all(descriptor, data),
        lambda dropped_by_event: _format_drop_report(prefix, dropped_by_event),
    )
    buffer.start()
    _buffers.append(buffer)

    def enqueue(message: Any) -> None:
        extra = message.record["extra"]
        event = extra.get("event", "")
        event_class = extra.get("event_class", EventClass.STATE)
        buffer.put(str(message), event, event_class)

    line_format = LINE_FORMAT
    if prefix:
        escaped = prefix.replace("{", "{{").replace("}", "}}")
        line_format = LINE_FORMAT.replace("{message}", escaped + " {message}")
    logger.remove()
    logger.add(enqueue, level=level, format=line_format, colorize=False)


def close_logs() -> None:
    """Flush the queued lines, waiting at most ``CLOSE_TIMEOUT_S``, and stop logging."""
    while _buffers:
        _buffers.pop().close(CLOSE_TIMEOUT_S)


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Log one event, unless it exceeds the rate limit of its class.

    :param event: name of a registered event.
    :param level: loguru level name; a routine event above ``INFO`` is rate-limited as
        an event of a failed request.
    :param fields: further fields of the line; names carry their unit as a suffix.
    :raises KeyError: if the event is not registered in ``EVENTS``.
    """
    event_class = EVENTS[event].event_class
    if event_class is EventClass.ROUTINE and level not in ("DEBUG", "INFO"):
        event_class = EventClass.FAILED
    request_id = str(fields.get("request_id", ""))
    if all(buffer.admit(event, event_class, request_id) for buffer in _buffers):
        bound = logger.bind(event=event, event_class=event_class)
        bound.log(level, "{}", format_pairs({"event": event, **fields}))


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def _format_drop_report(prefix: str, dropped_by_event: dict[str, int]) -> str:
    time = datetime.now().astimezone().isoformat(timespec="milliseconds")
    pairs = format_pairs({"event": "lines_left_out", **dropped_by_event})
    return " ".join(filter(None, [f"time={time} level=WARNING", prefix, pairs])) + "\n"
