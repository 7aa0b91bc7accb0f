"""Transfer of state snapshots between routers, over a separate TCP connection."""

import asyncio
from collections.abc import Callable

from bilberryspring.connection.router_reports import (
    MAX_SNAPSHOT_BYTES,
    StoreSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["fetch_snapshot", "serve_snapshots"]

# A snapshot has a few kilobytes. After a timeout the caller retries later.
SNAPSHOT_TIMEOUT_S = 1.0
_LENGTH_BYTES = 4
_REQUEST_ALL = b"a"
_REQUEST_SERVERS = b"s"


async def fetch_snapshot(
    ip: str, port: int, with_configuration: bool
) -> StoreSnapshot | Failure:
    """Fetch a snapshot from another router.

    :param ip: IP address of the router.
    :param port: port that all routers use.
    :param with_configuration: whether to request the configuration as well as the
        servers.
    :returns: the snapshot, or a failure if the router is unreachable, too slow or sends
        a malformed or too large one.
    """
    writer = None
    try:
        async with asyncio.timeout(SNAPSHOT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(_REQUEST_ALL if with_configuration else _REQUEST_SERVERS)
            header = await reader.readexactly(_LENGTH_BYTES)
            length_bytes = int.from_bytes(header, "big")
            if length_bytes > MAX_SNAPSHOT_BYTES:
                reason = f"{length_bytes} bytes from {ip} exceed the snapshot limit"
                return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
            return decode_snapshot(await reader.readexactly(length_bytes))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        reason = f"no snapshot from {ip}: {error!r}"
        return make_failure(ErrorKind.PEER_UNREACHABLE, reason)
    finally:
        if writer is not None:
            writer.close()


async def serve_snapshots(
    ip: str, port: int, make_snapshot: Callable[[bool], StoreSnapshot]
) -> asyncio.Server:
    """Serve snapshots to other routers.

    :param ip: IP address of this router.
    :param port: port that all routers use.
    :param make_snapshot: returns a snapshot of this router's state; its argument says
        whether to include the configuration.
    :returns: the listening server.
    :raises OSError: if the port cannot be bound.
    """

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_S):
                request = await reader.readexactly(len(_REQUEST_ALL))
                data = encode_snapshot(make_snapshot(request == _REQUEST_ALL))
                writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log_event("call_failed", level="WARNING", error=repr(error))
        finally:
            writer.close()

    return await asyncio.start_server(handle, ip, port)
