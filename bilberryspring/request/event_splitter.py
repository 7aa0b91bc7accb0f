"""Splitting of a stream that arrives in pieces of any size into complete events."""

__all__ = ["EventSplitter", "make_event_splitter"]

# An event ends with an empty line; a line ends with LF or CRLF.
_SEPARATORS = (b"\n\n", b"\n\r\n")
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Splitter of a stream of server-sent events at event boundaries.

    :ivar last_id: id of the last complete event that has one; ``None`` before it.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: str | None = None

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
        self._partial += data
        end = max(
            (
                self._partial.rfind(separator) + len(separator)
                for separator in _SEPARATORS
                if separator in self._partial
            ),
            default=0,
        )
        if end == 0:
            return b""
        events, self._partial = self._partial[:end], self._partial[end:]
        self._update_last_id(events)
        return events

    @property
    def is_event_too_long(self) -> bool:
        """Whether the bytes since the last separator exceed an event's maximum size."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes since the last separator are a part of an event."""
        return bool(self._partial.strip(b"\r\n"))

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return

    def discard_partial(self) -> None:
        """Discard the incomplete event at the end of an interrupted stream."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Remove and return the bytes after the last event separator."""
        partial, self._partial = self._partial, b""
        return partial


def make_event_splitter() -> EventSplitter:
    """Return a splitter for a new stream."""
    return EventSplitter()
