"""Liveness check of the connection that carries an engine's stream.

During a long prefill, and on a connection that has lost its network path, no events
arrive. To tell these cases apart, the agent queries the state of the stream over a new
connection. It abandons the old connection if the engine does not know the stream. It
also does so if no event has arrived for longer than the maximum silence, unless the
engine reports that the stream is still waiting.
"""

import asyncio
import json
import time
from collections.abc import Callable
from enum import Enum

from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.process.logs import log_event
from bilberryspring.request.engine_control import (
    StreamAction,
    StreamReply,
    make_engine_session,
    send_stream_action,
)

__all__ = ["StreamState", "ask_stream", "cancel_stream", "wait_until_stream_lost"]

CHECK_INTERVAL_S = 1.0
QUERY_TIMEOUT_S = 1.0
# Maximum pause between two events of a running response.
MAX_DECODE_SILENCE_S = 3.0
MIN_PREFILL_TOKENS_PER_S = 2_000
# One check is not enough: the last events of a response may still be in transit when
# the engine has already removed the stream.
LOST_CHECKS_REQUIRED = 2


class StreamState(Enum):
    """State of a stream as the engine reports it.

    ``ABSENT`` means that the engine does not know the stream, ``UNREACHABLE`` that it
    did not respond.
    """

    WAITING = "waiting"
    RUNNING = "running"
    ABSENT = "absent"
    UNREACHABLE = "unreachable"


async def ask_stream(address: str, request_id: str) -> StreamState:
    """Query the state of a stream over a new connection.

    The query is a resume command, which has no effect on a stream that is not paused
    and returns its state.

    :param address: ``ip:port`` of the engine.
    :param request_id: request that the stream belongs to.
    """
    reply = await _steer_over_new_connection(address, request_id, StreamAction.RESUME)
    if reply is None:
        return StreamState.UNREACHABLE
    if reply.status == 404:
        return StreamState.ABSENT
    return decode_stream_state(reply.body)


def decode_stream_state(body: bytes) -> StreamState:
    """Return the state in an engine's reply, waiting if it is malformed.

    :param body: body of the reply.
    """
    try:
        is_running = json.loads(body)["state"] == StreamState.RUNNING.value
    except MALFORMED_ERRORS:
        return StreamState.WAITING
    return StreamState.RUNNING if is_running else StreamState.WAITING


async def cancel_stream(address: str, request_id: str) -> None:
    """Cancel a stream whose connection is abandoned.

    :param address: ``ip:port`` of the engine.
    :param request_id: request that the stream belongs to.
    """
    await _steer_over_new_connection(address, request_id, StreamAction.CANCEL)


async def _steer_over_new_connection(
    address: str, request_id: str, action: StreamAction
) -> StreamReply | None:
    """Control a stream over a new connection, because open ones may be lost.

    :returns: the reply of the engine; ``None`` if it did not respond.
    """
    async with make_engine_session(QUERY_TIMEOUT_S) as session:
        return await send_stream_action(session, address, request_id, action)


async def wait_until_stream_lost(
    address: str,
    request_id: str,
    prompt_tokens: int,
    count_events: Callable[[], int],
    is_paused: Callable[[], bool],
) -> None:
    """Wait until the connection of a stream is considered lost.

    :param address: ``ip:port`` of the engine.
    :param request_id: request that the stream belongs to.
    :param prompt_tokens: estimated number of prompt tokens, which bounds the duration
        of the prefill.
    :param count_events: returns the number of events that have arrived.
    :param is_paused: returns whether the agent has paused the stream; a paused stream
        is not queried, because the query would resume it.
    """
    first_count = last_count = count_events()
    prefill_s = prompt_tokens / MIN_PREFILL_TOKENS_PER_S
    silence_start_s = time.monotonic()
    lost_checks = 0
    while lost_checks < LOST_CHECKS_REQUIRED:
        sleep_start_s = time.monotonic()
        await asyncio.sleep(CHECK_INTERVAL_S)
        now_s = time.monotonic()
        count = count_events()
        was_delayed = now_s - sleep_start_s > 2 * CHECK_INTERVAL_S
        if count != last_count or was_delayed or is_paused():
            last_count, silence_start_s, lost_checks = count, now_s, 0
            continue
        state = await ask_stream(address, request_id)
        max_silence_s = MAX_DECODE_SILENCE_S + (
            prefill_s if count == first_count else 0.0
        )
        is_overdue = now_s - silence_start_s > max_silence_s
        if state is StreamState.WAITING:
            silence_start_s = now_s
        is_lost = state is StreamState.ABSENT or (
            state is not StreamState.WAITING and is_overdue
        )
        lost_checks = lost_checks + 1 if is_lost else 0
    log_event("engine_stream_silent", request_id=request_id, events=count_events())
