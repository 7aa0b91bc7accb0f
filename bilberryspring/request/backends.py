"""Calls from an agent to its backend server, made by the adapter of the pool's kind."""

from dataclasses import replace

import aiohttp

from bilberryspring.process.logs import log_event
from bilberryspring.request import engine_calls, service_calls  # noqa: F401
from bilberryspring.request.backend_call import (
    ADAPTERS,
    BackendCall,
    BackendResult,
    diagnose_connection_loss,
)
from bilberryspring.request.backend_session import (
    SecondSendError,
    make_backend_session,
)
from bilberryspring.request.buffered_response import ResponseTooLargeError
from bilberryspring.request.engine_control import StreamAction, send_stream_action
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.stream_liveness import cancel_stream
from bilberryspring.version.objects import PoolKind

__all__ = [
    "BackendCall",
    "BackendResult",
    "call_backend",
    "control_stream",
    "make_backend_session",
]


async def call_backend(kind: PoolKind, call: BackendCall) -> BackendResult | Failure:
    """Send a request to the backend server and stream its response.

    A call whose connection became silent is cancelled and sent again once, over a new
    session.

    :param kind: kind of the pool that the backend server belongs to.
    :param call: the request and the answer that receives its response.
    :returns: how a complete response ended, or a failure whose outcome is ``NOT_RUN``
        only if nothing was sent.
    """
    result = await _call_adapter(kind, call)
    if not call.is_silent:
        return result
    await cancel_stream(call.address, call.request.request_id)
    # Idle connections of the shared session may have lost their network path as well.
    call.session = make_backend_session()
    call.sent_by_earlier_try = call.may_have_run
    call.sent = call.is_silent = False
    try:
        result = await _call_adapter(kind, call)
    finally:
        await call.session.close()
    if isinstance(result, Failure) and result.outcome is Outcome.NOT_RUN:
        return replace(result, outcome=Outcome.UNKNOWN)
    return result


async def _call_adapter(kind: PoolKind, call: BackendCall) -> BackendResult | Failure:
    try:
        result = await ADAPTERS[kind](call)
        if call.answer.is_given_up:
            raise ResponseTooLargeError("the response takes too much memory")
        return result
    except ResponseTooLargeError as error:
        reason = str(error)
        log_event(
            "response_given_up",
            level="WARNING",
            request_id=call.request.request_id,
            server=call.address,
            cause="memory",
            reason=reason,
        )
        return make_failure(ErrorKind.BACKEND_FAILED, reason, outcome=Outcome.UNKNOWN)
    except SecondSendError:
        return make_failure(
            ErrorKind.BACKEND_CRASHED,
            "the connection was lost after the request was sent",
        )
    except aiohttp.ClientConnectorError as error:
        if not call.sent:
            reason = f"connecting to the backend server failed: {error.strerror}"
            return make_failure(ErrorKind.BACKEND_UNREACHABLE, reason)
        return make_failure(ErrorKind.BACKEND_CRASHED, str(error))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if not call.sent:
            reason = f"connecting to the backend server failed: {error!r}"
            return make_failure(ErrorKind.BACKEND_UNREACHABLE, reason)
        return await diagnose_connection_loss(call, error)


async def control_stream(call: BackendCall, action: StreamAction) -> bool:
    """Request that the engine pause or resume the stream of a call.

    :param call: call of a model engine.
    :param action: pause or resume.
    :returns: whether the engine did so.
    """
    reply = await send_stream_action(
        call.session, call.address, call.request.request_id, action
    )
    return reply is not None and reply.status == 200
