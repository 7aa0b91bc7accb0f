"""HTTP sessions for an agent's own control calls to its backend server.

Callers' requests use the session of ``request/backend_session.py``, which records
whether anything was sent. A control call without a response in time is retried or
abandoned, so a limit on its total duration is sufficient here.
"""

from dataclasses import dataclass
from enum import Enum

import aiohttp

from bilberryspring.connection.turn_client import TurnConnector

__all__ = ["StreamAction", "StreamReply", "make_engine_session", "send_stream_action"]

STREAM_ACTION_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 4_096


class StreamAction(Enum):
    """Action of an engine on one of its streams."""

    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class StreamReply:
    """The engine's response to an action.

    :param status: HTTP status.
    :param body: first ``MAX_REPLY_BYTES`` of the body at most.
    """

    status: int
    body: bytes


def make_engine_session(timeout_s: float) -> aiohttp.ClientSession:
    """Return a session whose calls have a total timeout; the caller closes it.

    :param timeout_s: longest duration of one call, including connecting.
    """
    return aiohttp.ClientSession(
        connector=TurnConnector(), timeout=aiohttp.ClientTimeout(total=timeout_s)
    )


async def send_stream_action(
    session: aiohttp.ClientSession, address: str, request_id: str, action: StreamAction
) -> StreamReply | None:
    """Send an action on a stream to the engine.

    :param session: an open session.
    :param address: ``ip:port`` of the engine.
    :param request_id: request that the stream belongs to.
    :param action: whether to pause, resume or cancel the stream.
    :returns: the engine's response, ``None`` if there was none in time.
    """
    url = f"http://{address}/v1/streams/{request_id}/{action.value}"
    timeout = aiohttp.ClientTimeout(total=STREAM_ACTION_TIMEOUT_S)
    try:
        async with session.post(url, json={}, timeout=timeout) as response:
            body = await response.content.read(MAX_REPLY_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return StreamReply(response.status, body)
