"""What tells a response of a backend server from one that it broke off.

The end of a server's data ends a body without a length. A server that resets the
connection may send that end, or a part of it, first.
"""

import asyncio
import socket

__all__ = ["RESET_WAIT_S", "has_reset", "is_status"]

# A reset that follows the end of the server's data shows only after it.
RESET_WAIT_S = 0.02
FIRST_STATUS, LAST_STATUS = 100, 599


def is_status(number: int) -> bool:
    """Return whether a number is a status of HTTP.

    :param number: number of three digits in a status line.

    >>> is_status(200), is_status(0), is_status(600)
    (True, False, False)
    """
    return FIRST_STATUS <= number <= LAST_STATUS


def has_reset(transport: asyncio.Transport) -> bool:
    """Return whether the other side has reset a connection that is still open here.

    :param transport: transport of the connection.
    """
    sock = transport.get_extra_info("socket")
    return sock is not None and bool(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )
