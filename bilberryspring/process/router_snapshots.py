"""Snapshots that routers give each other over a connection of their own."""

import asyncio
from collections.abc import Callable

from bilberryspring.connection.router_reports import (
    MAX_SNAPSHOT_BYTES,
    Snapshot,
    decode_snapshot,
    encode_snapshot,
)
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["ask_snapshot", "listen_for_askers"]

# A snapshot is some kilobytes; a router that takes longer is asked again later.
TIMEOUT_S = 1.0
_LENGTH_BYTES = 4
_ASK_ALL = b"a"
_ASK_SERVERS = b"s"


async def ask_snapshot(
    ip: str, port: int, with_configuration: bool
) -> Snapshot | Failure:
    """Ask a router for what it knows.

    :param ip: its address.
    :param port: port of all routers.
    :param with_configuration: whether the configuration is needed as well.
    """
    writer = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(_ASK_ALL if with_configuration else _ASK_SERVERS)
            header = await reader.readexactly(_LENGTH_BYTES)
            length_bytes = int.from_bytes(header, "big")
            if length_bytes > MAX_SNAPSHOT_BYTES:
                reason = f"{length_bytes} bytes from {ip} are too many"
                return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
            return decode_snapshot(await reader.readexactly(length_bytes))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        reason = f"no snapshot from {ip}: {error!r}"
        return make_failure(ErrorKind.PEER_UNREACHABLE, reason)
    finally:
        if writer is not None:
            writer.close()


async def listen_for_askers(
    ip: str, port: int, make_snapshot: Callable[[bool], Snapshot]
) -> asyncio.Server:
    """Give snapshots to routers that ask.

    :param ip: own address.
    :param port: port of all routers.
    :param make_snapshot: returns what this router knows, with the configuration or
        without.
    :raises OSError: if the port cannot be bound.
    """

    async def give(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                asked = await reader.readexactly(len(_ASK_ALL))
                data = encode_snapshot(make_snapshot(asked == _ASK_ALL))
                writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log_event("call_failed", level="WARNING", error=repr(error))
        finally:
            writer.close()

    return await asyncio.start_server(give, ip, port)
