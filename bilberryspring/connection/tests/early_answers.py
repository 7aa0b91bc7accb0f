"""A backend server that answers before it has read the body of a request."""

import asyncio
import re
import socket
import struct

__all__ = ["ENDINGS", "LARGE_BYTES", "PART", "SMALL_BYTES", "make_early_answer"]

PART = b"part of an answer"
# More than the buffers of both sockets, and less than one of them.
LARGE_BYTES, SMALL_BYTES = 11_000_000, 40_000
# How the connection ends after a part of an answer without length, and the sizes of the
# bodies that the server has not read then.
ENDINGS = [
    (ending, size_bytes)
    for ending in (
        "reset-at-once",
        "reset-later",
        "reset-after-more",
        "end-then-reset",
        "end-at-once-then-reset",
    )
    for size_bytes in (LARGE_BYTES, SMALL_BYTES)
    # A body that was sent, and an answer that ended in order some time before the
    # reset, do not differ from a whole answer.
    if (ending, size_bytes) != ("end-then-reset", SMALL_BYTES)
]
PAUSE_S = 0.05


def _reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def make_early_answer(ending, headers=()):
    """Return the handler of a connection whose answer has no length.

    :param ending: how the connection ends.
    :param headers: names of request headers that the answer repeats.
    """

    async def respond(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if ending == "end":
            length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            await reader.readexactly(length)
        else:
            # The kernel's buffers hold what is still being sent.
            writer.transport.pause_reading()
        writer.write(b"HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\n")
        for name in headers:
            value = re.search(rb"(?i)%b: ([^\r]*)" % name.encode(), head)[1]
            writer.write(b"%b: %b\r\n" % (name.encode(), value))
        writer.write(b"\r\n" + PART)
        if ending == "reset-later":
            await asyncio.sleep(PAUSE_S)
        elif ending == "reset-after-more":
            await asyncio.sleep(PAUSE_S)
            writer.write(PART)
        elif ending == "end-then-reset":
            await asyncio.sleep(PAUSE_S)
            writer.write_eof()
            await asyncio.sleep(PAUSE_S)
        elif ending == "end-at-once-then-reset":
            writer.write_eof()
        if ending == "end":
            writer.close()
        else:
            _reset(writer)

    return respond
