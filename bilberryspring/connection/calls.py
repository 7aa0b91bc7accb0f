"""Registry of the methods that processes of the fleet call on each other."""

from collections.abc import Awaitable, Callable
from typing import Any

from bilberryspring.identifiers import InstanceId
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["CallHandler", "register_call_handler", "handle_call"]

CallHandler = Callable[[Any, bytes, InstanceId], Awaitable[bytes | Failure]]

_HANDLERS: dict[str, CallHandler] = {}


def register_call_handler(method: str) -> Callable[[CallHandler], CallHandler]:
    """Return a decorator that registers the handler of a method.

    :param method: method name in the call frame, such as ``configuration.fetch``.
    :returns: decorator for a coroutine function that takes the process object, the
        request payload and the authenticated id of the calling instance, and returns
        the reply payload or a failure.
    """

    def decorate(handler: CallHandler) -> CallHandler:
        _HANDLERS[method] = handler
        return handler

    return decorate


async def handle_call(
    process: Any, method: str, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Run the handler of a method and return its reply.

    :param process: process object that is passed to the handler.
    :param method: name under which the handler is registered.
    :param payload: request payload in the encoding of the method.
    :param caller: authenticated id of the calling instance.
    :returns: reply payload, or a failure: the handler's own, ``MALFORMED_REQUEST`` for
        an unknown method, or ``INTERNAL`` if the handler raised an exception.
    """
    handler = _HANDLERS.get(method)
    if handler is None:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"unknown method {method}")
    try:
        return await handler(process, payload, caller)
    except Exception as error:  # a malformed payload must not end the process
        log_event(
            "call_failed",
            level="ERROR",
            method=method,
            caller=caller,
            error=repr(error),
        )
        return make_failure(ErrorKind.INTERNAL, f"{method} failed")
