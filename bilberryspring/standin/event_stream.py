"""Client-side parser of server-sent events."""

from collections.abc import AsyncIterable, AsyncIterator
from dataclasses import dataclass

__all__ = ["END_OF_STREAM", "ServerEvent", "read_server_events"]

END_OF_STREAM = b"[DONE]"
ERROR_EVENT_KIND = b"error"


@dataclass(slots=True)
class ServerEvent:
    """One server-sent event.

    :param event_id: id of the event; empty if it has none.
    :param kind: type of the event; empty for the default type.
    :param data: last ``data`` line of the event.
    """

    event_id: str = ""
    kind: bytes = b""
    data: bytes = b""

    @property
    def is_end(self) -> bool:
        """Whether the event marks the end of a complete answer."""
        return self.data == END_OF_STREAM

    @property
    def is_error(self) -> bool:
        """Whether the data of the event is a problem document."""
        return self.kind == ERROR_EVENT_KIND


async def read_server_events(lines: AsyncIterable[bytes]) -> AsyncIterator[ServerEvent]:
    """Yield each event that has data and that a blank line terminates.

    :param lines: lines of the response body, such as ``response.content``.
    """
    event = ServerEvent()
    async for line in lines:
        name, _, value = line.rstrip(b"\r\n").partition(b":")
        if not line.strip():
            if event.data:
                yield event
            event = ServerEvent()
        elif name == b"data":
            event.data = value.strip()
        elif name == b"id":
            event.event_id = value.strip().decode()
        elif name == b"event":
            event.kind = value.strip()
