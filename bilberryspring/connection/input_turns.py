"""Turns in which the connections of an event loop parse what they receive.

The work of parsing depends on the number of chunks in the received bytes, which the
sender chooses. A connection parses a small read at once. A larger one is parsed in
slices, in turns with the other connections and with pauses for other tasks, while the
transport reads no more. The connection whose message has taken the least time comes
first, so that a large answer in large chunks does not wait for others in tiny ones.
"""

import asyncio
import heapq
import itertools
import socket
import time
from collections.abc import Callable
from typing import Protocol
from weakref import WeakKeyDictionary

__all__ = [
    "DIRECT_BYTES",
    "InputTurns",
    "SLICE_BYTES",
    "TurnProtocol",
    "TurnTaker",
    "find_input_turns",
]

# The kernel grows a receive buffer without a stated size to some megabytes.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Largest read from a connection.
READ_BYTES = 64 * 1024
# A read of at most this size is parsed at once if no earlier bytes wait.
DIRECT_BYTES = 4 * 1024
# Bytes that a connection parses before it looks at the time.
SLICE_BYTES = 8 * 1024
# A connection's turn ends after this time, by the end of a slice.
MAX_TURN_S = 0.0005
# Turns are taken for at most this long before other tasks run, by the end of a turn.
MAX_RUN_S = 0.004
# Pause between runs, in which other tasks have the processor.
PAUSE_S = 0.004


class TurnTaker(Protocol):
    """Connection that takes turns.

    :ivar parse_time_s: time in seconds that turns took since its message began.
    """

    parse_time_s: float

    def parse_slice(self) -> bool:
        """Parse a slice of the received bytes.

        :returns: whether more bytes wait.
        """

    def update_reading(self) -> None:
        """Pause reading while bytes wait or there is no room, else resume it."""


class InputTurns:
    """Turns of the connections of one event loop that have bytes to parse.

    :param read_clock: time in seconds.
    :ivar buffer: receives each read before its connection takes the bytes.
    """

    def __init__(self, read_clock: Callable[[], float] = time.perf_counter):
        self._read_clock = read_clock
        self._waiting: list[tuple[float, int, TurnTaker]] = []
        self._numbers = itertools.count()
        self._is_scheduled = False
        self.buffer = memoryview(bytearray(READ_BYTES))

    def add(self, connection: TurnTaker) -> None:
        """Give a connection a turn; it must have none yet.

        :param connection: connection with bytes to parse.
        """
        self._push(connection)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _push(self, connection: TurnTaker) -> None:
        # Of equal connections, the one that has waited for longest comes first.
        item = (connection.parse_time_s, next(self._numbers), connection)
        heapq.heappush(self._waiting, item)

    def _run(self) -> None:
        begun_s = now_s = self._read_clock()
        try:
            while self._waiting and now_s < begun_s + MAX_RUN_S:
                _, _, connection = heapq.heappop(self._waiting)
                turn_begun_s = now_s
                while (is_waiting := connection.parse_slice()) and (
                    now_s - turn_begun_s < MAX_TURN_S
                ):
                    now_s = self._read_clock()
                now_s = self._read_clock()
                connection.parse_time_s += now_s - turn_begun_s
                if is_waiting:
                    self._push(connection)
                connection.update_reading()
        finally:
            self._is_scheduled = bool(self._waiting)
            if self._waiting:
                asyncio.get_running_loop().call_later(PAUSE_S, self._run)


_turns_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, InputTurns] = (
    WeakKeyDictionary()
)


def find_input_turns() -> InputTurns:
    """Return the turns of the running event loop, which all its connections share."""
    loop = asyncio.get_running_loop()
    turns = _turns_by_loop.get(loop)
    if turns is None:
        turns = _turns_by_loop[loop] = InputTurns()
    return turns


class TurnProtocol(asyncio.BufferedProtocol):
    """Connection that parses what it receives in turns with the others of its loop.

    A subclass implements :meth:`parse` and :meth:`may_read`, and calls
    :meth:`update_reading` when the result of the latter may have changed.

    :ivar parse_time_s: time in seconds that turns took since the message began; the
        subclass sets it to zero when the next one begins.
    """

    def __init__(self) -> None:
        self.parse_time_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._turns = find_input_turns()
        self._unparsed = bytearray()
        self._is_reading_paused = False

    def parse(self, data: bytes) -> None:
        """Parse received bytes.

        :param data: bytes that follow those parsed before.
        """
        raise NotImplementedError

    def may_read(self) -> bool:
        """Return whether there is room for more of what the bytes contain."""
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and bound what the kernel receives for it."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._turns.buffer

    def buffer_updated(self, size_bytes: int) -> None:
        """Take the bytes of a read from the buffer."""
        self.data_received(bytes(self._turns.buffer[:size_bytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes at once if they are few, else in turns.

        :param data: bytes that follow those received before.
        """
        if self._unparsed:
            self._unparsed += data
        elif len(data) <= DIRECT_BYTES:
            self.parse(data)
        else:
            self._unparsed += data
            self._turns.add(self)
        self.update_reading()

    def parse_slice(self) -> bool:
        """Parse a slice of the received bytes.

        :returns: whether more bytes wait.
        """
        data = bytes(self._unparsed[:SLICE_BYTES])
        del self._unparsed[:SLICE_BYTES]
        if data:
            self.parse(data)
        return bool(self._unparsed)

    def parse_rest(self) -> None:
        """Parse the bytes that still wait, because no more will be received."""
        rest = bytes(self._unparsed)
        self._unparsed.clear()
        if rest:
            self.parse(rest)

    def update_reading(self) -> None:
        """Pause reading while bytes wait or there is no room, else resume it."""
        must_pause = bool(self._unparsed) or not self.may_read()
        if must_pause == self._is_reading_paused or self._transport is None:
            return
        if self._transport.is_closing():
            return
        self._is_reading_paused = must_pause
        if must_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
