"""Server of scripted byte streams, which closes every stream that it opened."""

import asyncio
from contextlib import asynccontextmanager, suppress

__all__ = ["serve_streams"]


@asynccontextmanager
async def serve_streams(respond):
    """Serve each connection with `respond`, and close all of them at the end.

    :param respond: coroutine function that takes a reader and a writer.
    :returns: a context manager whose value is the port.
    """
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await respond(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
