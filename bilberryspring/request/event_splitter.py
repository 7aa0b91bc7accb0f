"""Whole events of a stream that arrives in pieces of any size."""

__all__ = ["EventSplitter", "make_event_splitter"]

_SEPARATOR = b"\n\n"


class EventSplitter:
    """Cuts a stream of server-sent events at the ends of its events."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream.

        :param data: bytes that follow those before.
        :returns: every event that is whole now, with its separator.

        >>> splitter = make_event_splitter()
        >>> splitter.feed(b"id: 3\\ndata: a\\n\\nid: 4\\nda")
        b'id: 3\\ndata: a\\n\\n'
        >>> splitter.last_id
        '3'
        """
        self._rest += data
        end = self._rest.rfind(_SEPARATOR)
        if end < 0:
            return b""
        whole = self._rest[: end + len(_SEPARATOR)]
        self._rest = self._rest[end + len(_SEPARATOR) :]
        self._note_last_id(whole)
        return whole

    def _note_last_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                return

    def drop_rest(self) -> None:
        """Forget the part of an event that was broken off."""
        self._rest = b""

    def take_rest(self) -> bytes:
        """Return what came after the last separator."""
        rest, self._rest = self._rest, b""
        return rest


def make_event_splitter() -> EventSplitter:
    """Return a splitter at the begin of a stream."""
    return EventSplitter()
