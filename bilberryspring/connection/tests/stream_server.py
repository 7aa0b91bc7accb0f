"""TCP servers of tests that close what they accepted."""

import asyncio
from contextlib import asynccontextmanager, suppress

__all__ = ["StreamServer", "make_stream_server", "serve_streams"]


class StreamServer:
    """Listener that runs a handler for each connection.

    :param handle: coroutine function with the parameters `reader` and `writer`.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._is_closed = False
        self._writers = []
        self._tasks = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen on an address.

        :param host: IP address.
        :param port: TCP port; zero for a free one.
        :returns: host and port of the listener.
        """
        self._server = await asyncio.start_server(self._accept, host, port)
        return self._server.sockets[0].getsockname()

    def _accept(self, reader, writer):
        # A coroutine function would run later, and never if the event loop ends first.
        if self._is_closed:
            writer.transport.abort()
            return
        self._writers.append(writer)
        task = self._handle(reader, writer)
        self._tasks.add(asyncio.get_running_loop().create_task(task))

    async def close(self):
        """Stop listening, close every connection and end its handler."""
        self._is_closed = True
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def make_stream_server(handle):
    """Return a server that is not listening yet.

    :param handle: coroutine function with the parameters `reader` and `writer`.
    """
    return StreamServer(handle)


@asynccontextmanager
async def serve_streams(respond):
    """Serve each connection with `respond`, and close all of them at the end.

    :param respond: coroutine function that takes a reader and a writer.
    :returns: a context manager whose value is the port.
    """

    async def handle(reader, writer):
        try:
            await respond(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()

    server = make_stream_server(handle)
    _, port = await server.start()
    try:
        yield port
    finally:
        await server.close()
