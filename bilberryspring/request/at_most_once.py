"""At-most-once execution of a request: claim, prepare, check, send, record."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bilberryspring.identifiers import IdempotencyKey, RouteName, WorkspaceName
from bilberryspring.request.claims import ClaimStore, StoredResponse
from bilberryspring.request.errors import Failure, Outcome

__all__ = ["KeyedRequest", "ServiceResponse", "run_at_most_once"]


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Identity and deadline of a non-idempotent request.

    :param workspace: workspace of the caller.
    :param route: route of the request.
    :param key: idempotency key of the request.
    :param content_digest: digest of all content that determines what the request does.
    :param deadline_monotonic_s: monotonic time after which the request must not be
        sent.
    """

    workspace: WorkspaceName
    route: RouteName
    key: IdempotencyKey
    content_digest: str
    deadline_monotonic_s: float


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a plain service.

    :param status: HTTP status code.
    :param content_type: media type of the body.
    :param body: the whole body.
    """

    status: int
    content_type: str
    body: bytes


async def _skip_preparation() -> Failure | None:
    return None


async def run_at_most_once(
    claims: ClaimStore,
    request: KeyedRequest,
    send: Callable[[], Awaitable[ServiceResponse | Failure]],
    prepare: Callable[[], Awaitable[Failure | None]] = _skip_preparation,
) -> ServiceResponse | StoredResponse | Failure:
    """Run a request unless its key was used before.

    :param claims: claim store of the agent.
    :param request: key, content digest and deadline.
    :param send: sends the request to the backend server and returns the complete
        response; a failure with the outcome ``NOT_RUN`` means that no byte was sent.
    :param prepare: waits until the request may be sent; it runs while the claim is
        held, and a failure releases the claim.
    :returns: the response, the stored response of an earlier request, or a failure.
    """
    claim = await claims.claim(
        request.workspace,
        request.route,
        request.key,
        request.content_digest,
        request.deadline_monotonic_s,
    )
    if isinstance(claim, StoredResponse | Failure):
        return claim
    try:
        failure = await prepare()
    except (asyncio.CancelledError, Exception):
        await claims.release(claim)
        raise
    if failure is not None:
        await claims.release(claim)
        return failure
    refusal = claims.begin_send(claim)
    if refusal is not None:
        return refusal
    try:
        answer = await send()
    except (asyncio.CancelledError, Exception):
        await claims.record_unknown(claim)
        raise
    if isinstance(answer, ServiceResponse):
        await claims.record(claim, answer.status, answer.content_type, answer.body)
    elif answer.outcome is Outcome.NOT_RUN:
        await claims.release(claim)
    else:
        await claims.record_unknown(claim)
    return answer
