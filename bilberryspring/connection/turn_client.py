"""Connections of the HTTP client that parse large reads in turns.

The client's own connections parse a read at once, and its work depends on the number of
chunks in it, which the sender chooses.
"""

import asyncio
from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

from bilberryspring.connection.input_turns import (
    DIRECT_BYTES,
    SLICE_BYTES,
    find_input_turns,
)
from bilberryspring.connection.response_ends import RESET_WAIT_S, has_reset

__all__ = ["TurnConnector", "TurnResponseHandler"]


class TurnResponseHandler(ResponseHandler):
    """Connection that parses large reads in turns with the others of its loop.

    :param loop: event loop of the connection.
    :ivar parse_time_s: time in seconds that turns took since the connection began.
    :ivar is_reset: whether the end of the server's data was followed by a reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._unparsed = bytearray()
        self._is_in_turns = False
        self.parse_time_s = 0.0
        self.is_reset = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes at once if they are few, else in turns.

        :param data: bytes that follow those received before; none to go on with what
            the parser holds.
        """
        if not data or (not self._unparsed and len(data) <= DIRECT_BYTES):
            super().data_received(data)
            return
        self._unparsed += data
        self._take_turns()

    def _take_turns(self) -> None:
        if not self._is_in_turns:
            self._is_in_turns = True
            find_input_turns().add(self)
            self.update_reading()

    def parse_slice(self) -> bool:
        """Parse a slice of the received bytes, unless the body waits to be read.

        :returns: whether the connection takes another turn.
        """
        self._is_in_turns = False
        if self._reading_paused or not self._unparsed:
            return False
        data = bytes(self._unparsed[:SLICE_BYTES])
        del self._unparsed[:SLICE_BYTES]
        super().data_received(data)
        self._is_in_turns = bool(self._unparsed) and not self._reading_paused
        return self._is_in_turns

    def update_reading(self) -> None:
        """Pause reading while bytes wait, else resume it."""
        if self._unparsed and not self._buffer_paused:
            self._pause_reading_for_buffer()
        elif not self._unparsed and self._buffer_paused:
            self._resume_reading_for_buffer()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on with the bytes that wait, once the body has been read.

        :param resume_parser: whether the parser goes on with what it holds.
        """
        super().resume_reading(resume_parser)
        if self._unparsed and not self._reading_paused:
            self._take_turns()

    def eof_received(self) -> bool:
        """Wait for a reset if the server's end of data may end a body.

        :returns: whether the transport stays open for now.
        """
        super().eof_received()
        if self.transport is None or not self._is_reading_body():
            return False
        asyncio.get_running_loop().call_later(RESET_WAIT_S, self._end_body)
        return True

    def _is_reading_body(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def _end_body(self) -> None:
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size():
            # The server may still read the rest of the request, or reset it.
            asyncio.get_running_loop().call_later(RESET_WAIT_S, self._end_body)
            return
        self.is_reset = self.is_reset or has_reset(self.transport)
        self.transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse the bytes that wait, since no more will be received."""
        rest = bytes(self._unparsed)
        self._unparsed.clear()
        if rest:
            super().data_received(rest)
        super().connection_lost(exc)

    @property
    def should_close(self) -> bool:
        """Whether the connection cannot carry another request."""
        return bool(self._unparsed) or super().should_close


class TurnConnector(aiohttp.TCPConnector):
    """Connector whose connections parse large reads in turns.

    :param options: options of the base class.
    """

    def __init__(self, **options: object):
        super().__init__(**options)
        self._factory = partial(TurnResponseHandler, loop=self._loop)
