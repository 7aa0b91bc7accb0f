"""HTTP sessions for an agent's own questions and orders to its backend server.

Callers' requests go over the session of ``request/backend_session.py``, which notes
whether anything was sent; a question that gets no answer in time is asked again or
given up, so here a limit on its whole duration is enough.
"""

from dataclasses import dataclass
from enum import Enum

import aiohttp

__all__ = ["StreamAction", "StreamReply", "make_engine_session", "steer_stream"]

STREAM_ACTION_TIMEOUT_S = 1.0
MAX_REPLY_BYTES = 4_096


class StreamAction(Enum):
    """What an engine can be told to do with a stream."""

    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


@dataclass(frozen=True, slots=True)
class StreamReply:
    """The engine's answer to an action.

    :param status: HTTP status.
    :param body: the first bytes of the body.
    """

    status: int
    body: bytes


def make_engine_session(timeout_s: float) -> aiohttp.ClientSession:
    """Return a session whose calls are limited in time; the caller closes it.

    :param timeout_s: longest duration of one call, connecting included.
    """
    return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=timeout_s))


async def steer_stream(
    session: aiohttp.ClientSession, address: str, request_id: str, action: StreamAction
) -> StreamReply | None:
    """Tell the engine what to do with a stream.

    :param session: an open session.
    :param address: ``ip:port`` of the engine.
    :param request_id: request that the stream belongs to.
    :param action: what to do.
    :returns: the engine's reply, or ``None`` if there was none in time.
    """
    url = f"http://{address}/v1/streams/{request_id}/{action.value}"
    timeout = aiohttp.ClientTimeout(total=STREAM_ACTION_TIMEOUT_S)
    try:
        async with session.post(url, json={}, timeout=timeout) as response:
            body = await response.content.read(MAX_REPLY_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None
    return StreamReply(response.status, body)
