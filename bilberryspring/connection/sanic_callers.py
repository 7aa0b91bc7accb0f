"""HTTP connections of callers at a Sanic application, with bounded room and memory.

Sanic bounds the size of each request, but neither the number of connections nor what
they hold together.
"""

import asyncio
import socket

from sanic.http import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from bilberryspring.connection.input_turns import RECEIVE_BUFFER_BYTES
from bilberryspring.policy.caller_room import CallerState, CallerView
from bilberryspring.process.caller_room import CallerRoom
from bilberryspring.process.logs import log_event
from bilberryspring.process.memory_bound import MemoryBound, MessageKind

__all__ = ["RoomProtocol", "make_room_protocol"]

# Each field of a head takes much more memory than its bytes.
FIELD_OVERHEAD_BYTES = 160
# Heads are not longer than this.
MAX_HEAD_BYTES = 16 * 1024
# Requests of less than this are not counted towards the bound on memory.
MIN_COUNTED_BYTES = 8 * 1024
_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class RoomProtocol(HttpProtocol):
    """Connection that shares room and memory with the others of its listener.

    Subclasses set the class attributes.

    :cvar room: open connections.
    :cvar memory: bound on the memory of requests and of responses that are not read.
    """

    room: CallerRoom
    memory: MemoryBound

    def __init__(self, **options: object):
        super().__init__(**options)
        self._holder = self.memory.make_holder(str(id(self)), self._give_up)
        self._received_bytes = 0
        self._has_received = False
        self._is_refused = False
        self._waits_since_s = self.loop.time()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serve the connection if there is room for it."""
        if not self.room.admit(self):
            self._is_refused = True
            transport.abort()
            return
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release room and memory."""
        self.room.remove(self)
        self._is_refused = True
        self._holder.release()
        # A connection without room was not set up.
        if self.conn_info is not None:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Receive bytes, and give up requests if there are too many of them."""
        if self._is_refused:
            return
        state = self.view().state
        if state in (CallerState.IDLE, CallerState.UNUSED):
            self._received_bytes = 0
            self._waits_since_s = self.loop.time()
        self._has_received = True
        self._received_bytes += len(data)
        if state is not CallerState.WORKING and self._received_bytes < MAX_HEAD_BYTES:
            self._received_bytes += FIELD_OVERHEAD_BYTES * data.count(b"\n")
        if self.memory.held_bytes + self._received_bytes > self.memory.limit_bytes:
            for connection in list(self.room.connections):
                connection.update_memory()
        super().data_received(data)
        self.update_memory()

    def pause_writing(self) -> None:
        """Count what the caller does not read."""
        super().pause_writing()
        self._waits_since_s = self.loop.time()
        self.update_memory()

    def resume_writing(self) -> None:
        """Count what is left."""
        super().resume_writing()
        self.update_memory()

    def update_memory(self) -> None:
        """Count the memory that the connection holds now."""
        if self._is_refused or self.transport is None:
            self._holder.release()
            return
        state = self.view().state
        held_bytes = self._received_bytes
        if state is CallerState.IDLE:
            held_bytes = 0
        if len(self.recv_buffer) >= self.app.config.REQUEST_BUFFER_SIZE:
            held_bytes += RECEIVE_BUFFER_BYTES
        if state is CallerState.UNREAD:
            held_bytes += self.transport.get_write_buffer_size()
        self._holder.kind = {
            CallerState.WORKING: MessageKind.ACCEPTED,
            CallerState.AHEAD: MessageKind.ACCEPTED,
            CallerState.UNREAD: MessageKind.UNREAD,
        }.get(state, MessageKind.WITHOUT_LENGTH)
        self._holder.set_size(held_bytes if held_bytes >= MIN_COUNTED_BYTES else 0)

    def view(self) -> CallerView:
        """Return what the connection waits for."""
        waited_s = self.loop.time() - self._waits_since_s
        if not self._can_write.is_set():
            return CallerView(CallerState.UNREAD, waited_s)
        if not self._has_received:
            return CallerView(CallerState.UNUSED, waited_s)
        http = self.http
        if http is None or (http.stage is Stage.IDLE and not self.recv_buffer):
            return CallerView(CallerState.IDLE, waited_s)
        if http.stage in (Stage.IDLE, Stage.REQUEST) or http.request_body:
            return CallerView(CallerState.RECEIVING, waited_s)
        if len(self.recv_buffer) >= MIN_COUNTED_BYTES:
            return CallerView(CallerState.AHEAD, waited_s)
        return CallerView(CallerState.WORKING, 0.0)

    def end(self) -> None:
        """Close the connection for want of room."""
        if self.transport is not None:
            self.transport.abort()

    def _give_up(self) -> None:
        """Refuse the request that is being received, for want of memory."""
        if self._is_refused or self.transport is None:
            return
        is_receiving = self.view().state is CallerState.RECEIVING
        self._is_refused = True
        log_event(
            "request_unreadable",
            level="WARNING",
            status=503,
            body_bytes=self._received_bytes,
        )
        if not is_receiving:
            self.transport.abort()
            return
        self.transport.write(_REFUSAL)
        self.transport.close()


def make_room_protocol(room: CallerRoom, memory: MemoryBound) -> type[RoomProtocol]:
    """Return the class of a listener's connections.

    :param room: open connections.
    :param memory: bound on the memory of requests and of responses that are not read.
    """
    return type("ListenerProtocol", (RoomProtocol,), {"room": room, "memory": memory})
