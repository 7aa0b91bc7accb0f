"""TCP server of a test that closes what it accepted."""

import asyncio

__all__ = ["StreamServer", "make_stream_server"]


class StreamServer:
    """Listener that runs a handler for each connection.

    :param handle: coroutine function with the parameters `reader` and `writer`.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = []
        self._tasks = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen on an address.

        :param host: IP address.
        :param port: TCP port; zero for a free one.
        :returns: host and port of the listener.
        """
        self._server = await asyncio.start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        self._tasks.add(asyncio.current_task())
        await self._handle(reader, writer)

    async def close(self):
        """Stop listening, close every connection and end its handler."""
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
