"""Splitting of a stream that arrives in pieces of any size into complete events."""

import re

__all__ = ["EventSplitter", "make_event_splitter"]

# An event ends with an empty line; a line ends with LF or CRLF.
_SEPARATORS = (b"\n\n", b"\n\r\n")
_ANY_SEPARATOR = re.compile(rb"\n\r?\n")
_MAX_SEPARATOR_BYTES = 3
# Start of a line that is neither empty nor a comment.
_FIELD = re.compile(rb"(?:\A|[\r\n])([^:\r\n])")
_ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024
# Comments and empty events between two events.
MAX_BYTES_WITHOUT_EVENT = 256 * 1024


class EventSplitter:
    """Splitter of a stream of server-sent events at event boundaries.

    :ivar last_id: id of the last complete event that has one; ``None`` before it.
    :ivar has_events: whether the current response has a complete event.
    :ivar is_continuation_wrong: whether a continuation does not go on after
        ``last_id``; its events are not returned.
    :ivar has_progressed: whether the latest bytes completed an event; comments and
        empty events are none.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._bytes_without_event = 0
        self.has_progressed = False
        self.last_id: str | None = None
        self.has_events = False
        self._has_begun = False
        self._must_check_continuation = False
        self.is_continuation_wrong = False

    def feed(self, data: bytes) -> bytes:
        """Add the next bytes of the stream.

        :param data: bytes that follow those added before.
        :returns: all events that are complete now, with their separators; empty if
            there are none.

        >>> splitter = make_event_splitter()
        >>> splitter.feed(b"id: 3\\ndata: a\\n\\nid: 4\\nda")
        b'id: 3\\ndata: a\\n\\n'
        >>> splitter.last_id
        '3'
        """
        # Only a separator that ends in these bytes is new.
        searched_bytes = max(len(self._partial) - _MAX_SEPARATOR_BYTES + 1, 0)
        self._partial += data
        self.has_progressed = False
        end = 0
        for separator in _SEPARATORS:
            position = self._partial.rfind(separator, searched_bytes)
            if position >= 0:
                end = max(end, position + len(separator))
        if end == 0:
            return b""
        events = bytes(self._partial[:end])
        del self._partial[:end]
        if self._must_check_continuation:
            self._check_continuation(events)
        if self.is_continuation_wrong:
            return b""
        if _FIELD.search(events):
            self.has_events = self.has_progressed = True
            self._bytes_without_event = 0
            self.last_id = _find_last_id(events) or self.last_id
        else:
            self._bytes_without_event += len(events)
        return events

    @property
    def partial_bytes(self) -> int:
        """Number of bytes since the last separator."""
        return len(self._partial)

    @property
    def is_event_too_long(self) -> bool:
        """Whether the bytes since the last separator exceed an event's maximum size."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def is_without_event(self) -> bool:
        """Whether there are too many bytes of comments since the last event."""
        return self._bytes_without_event > MAX_BYTES_WITHOUT_EVENT

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes since the last separator are a part of an event."""
        return bool(self._partial.strip(b"\r\n"))

    def begin_response(self) -> None:
        """Begin the stream, or its continuation by another response.

        The incomplete event at the end of an interrupted response is discarded.
        """
        self._partial.clear()
        self._bytes_without_event = 0
        self._has_begun = self._has_begun or self.has_events
        self.has_events = False
        self._must_check_continuation = self._has_begun
        self.is_continuation_wrong = False

    def _check_continuation(self, events: bytes) -> None:
        first_event = _find_first_event(events)
        if first_event:
            self._must_check_continuation = False
            first_id = _find_last_id(b"\n".join(first_event))
            self.is_continuation_wrong = (
                not first_id
                or self.last_id is None
                or not _is_after(first_id, self.last_id)
            )

    def take_partial(self) -> bytes:
        """Remove and return the bytes after the last event separator."""
        partial = bytes(self._partial)
        self._partial.clear()
        return partial


def _find_first_event(events: bytes) -> list[bytes]:
    """Return the lines of the first event; empty if there are only comments."""
    field = _FIELD.search(events)
    if field is None:
        return []
    start = field.start(1)
    separator = _ANY_SEPARATOR.search(events, start)
    event = events[start : separator.start() if separator else None]
    return [line for line in event.splitlines() if line and not line.startswith(b":")]


def _find_last_id(events: bytes) -> str | None:
    """Return the value of the last id field; ``None`` if there is none."""
    end = len(events)
    while (start := events.rfind(_ID_FIELD, 0, end)) >= 0:
        if start == 0 or events[start - 1] in b"\r\n":
            value = re.split(rb"[\r\n]", events[start + len(_ID_FIELD) :], maxsplit=1)
            return value[0].strip().decode("latin-1")
        end = start
    return None


def _is_after(event_id: str, earlier_id: str) -> bool:
    """Return whether an event id can follow an earlier one.

    >>> _is_after("10", "9"), _is_after("9", "9"), _is_after("b", "a")
    (True, False, True)
    """
    if not all(text.isascii() and text.isdigit() for text in (event_id, earlier_id)):
        return event_id != earlier_id
    number, earlier_number = event_id.lstrip("0"), earlier_id.lstrip("0")
    return (len(number), number) > (len(earlier_number), earlier_number)


def make_event_splitter() -> EventSplitter:
    """Return a splitter for a new stream."""
    return EventSplitter()
