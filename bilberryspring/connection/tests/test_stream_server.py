"""The servers of tests leave no connection open."""

import asyncio
import gc
import socket

import pytest

from bilberryspring.connection.tests.stream_server import make_stream_server


# Guards against a writer that is finalized after its event loop has closed, which is
# then reported as an error of the test.
@pytest.mark.parametrize("turns", range(8))
def test_connection_that_is_accepted_during_a_close_is_closed(turns):
    client = socket.socket()
    client.settimeout(5)

    async def handle(reader, writer):
        await reader.read()

    async def connect_and_close():
        server = make_stream_server(handle)
        client.connect(await server.start())
        # The connection is opened over several turns of the event loop.
        for _ in range(turns):
            await asyncio.sleep(0)
        await server.close()
        for _ in range(8):
            await asyncio.sleep(0)

    with client, asyncio.Runner() as runner:
        runner.run(connect_and_close())
        # asyncio drops a socket whose listener is closed before it has a transport.
        gc.collect()
        try:
            assert client.recv(1) == b""
        except ConnectionResetError:
            pass
