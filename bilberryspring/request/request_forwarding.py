"""Forwarding of a request by a router, with retries on other agents."""

import asyncio
import time
from dataclasses import replace
from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.messages import Final
from bilberryspring.identifiers import RequestId
from bilberryspring.policy.placement import rank_own_region_first
from bilberryspring.policy.retry_after import choose_retry_after
from bilberryspring.process.logs import log_event
from bilberryspring.process.traces import start_span
from bilberryspring.request.errors import (
    CONNECTION_FAILURES,
    ErrorKind,
    Failure,
    Outcome,
    make_failure,
)
from bilberryspring.request.forwarding_state import ForwardingState, make_open_message
from bilberryspring.request.response_receiver import receive_response
from bilberryspring.request.retry import (
    compute_retry_delay,
    is_exempt_from_budget,
    may_retry_elsewhere,
)

__all__ = ["forward_request"]

# An older request that an agent refuses as overloaded is not queued again at another.
MAX_AGE_FOR_REQUEUE_S = 1.0


async def forward_request(process: Any, forwarding: ForwardingState) -> Final | Failure:
    """Send a request to agents, retrying where that is safe, until it ends.

    :param process: the router.
    :param forwarding: state of the request.
    :returns: the final message of a complete response, or the failure for the caller,
        whose outcome is ``NOT_RUN`` only if no try can have run the request.
    """
    process.retry_budgets.record_first_attempt(forwarding.request.pool)
    hint = ""
    result: Final | Failure = make_failure(ErrorKind.NO_INSTANCE)
    while True:
        crash_verdict = process.crashes.check_quarantine(
            forwarding.request.content_digest
        )
        if isinstance(crash_verdict, Failure):
            return _make_final_failure(forwarding, crash_verdict)
        instance = _choose_instance(process, forwarding, hint)
        if instance is None:
            return _make_final_failure(forwarding, result)
        result = await _try_instance(process, forwarding, instance)
        if isinstance(result, Final):
            process.crashes.clear(forwarding.request.content_digest)
            return result
        _record_failure(process, forwarding, instance, result)
        if not _may_try_again(process, forwarding, result):
            return _make_final_failure(forwarding, result)
        hint = result.hint
        if not is_exempt_from_budget(result):
            await asyncio.sleep(compute_retry_delay(forwarding.tries))


def _choose_instance(
    process: Any, forwarding: ForwardingState, hint: str
) -> Instance | None:
    """Return the best instance for the next try, ``None`` if none is left.

    The hint names a lightly loaded instance regardless of where the chat's KV cache is,
    so only the last try follows it.
    """
    request = forwarding.request
    usable = process.members.instances(request.pool)
    loads = process.exchange.loads(request.pool)
    if process.crashes.find(request.content_digest):
        # Every router sends content that is suspected of crashes to the same instance,
        # whose agent runs such requests one at a time.
        loads, hint = {}, ""
    ranked = rank_own_region_first(
        forwarding.policy, request.chat_key, usable, loads, process.settings.region
    )
    held_back = process.members.list_held_back(request.pool)
    ranked += held_back
    max_attempts = process.settings.max_attempts
    is_last_try = max_attempts - 1 in (forwarding.charged_tries, forwarding.free_tries)
    if is_last_try:
        known = [*usable, *held_back]
        hinted = [instance for instance in known if instance.instance_id == hint]
        ranked = hinted + ranked
    ranked = [each for each in ranked if each.instance_id not in forwarding.excluded]
    preferred = [
        each for each in ranked if each.instance_id not in forwarding.deprioritized
    ]
    forwarding.is_last_try = is_last_try or len(preferred) <= 1
    return next(iter(preferred or ranked), None)


def _record_failure(
    process: Any, forwarding: ForwardingState, instance: Instance, failure: Failure
) -> None:
    """Record a failed try in the state of the request and of the instance."""
    forwarding.is_surely_not_run = (
        forwarding.is_surely_not_run and failure.outcome is Outcome.NOT_RUN
    )
    forwarding.free_tries += is_exempt_from_budget(failure)
    forwarding.try_failures.append(failure)
    if failure.kind is ErrorKind.LOAD_BOUND and not forwarding.was_agent_lost:
        forwarding.excluded.discard(instance.instance_id)
        forwarding.deprioritized.add(instance.instance_id)
    digest = forwarding.request.content_digest
    process.crashes.add_crashes(digest, failure.crash_ids.split())
    if failure.kind is ErrorKind.LEAVING:
        process.members.report_leaving(instance.instance_id)
    elif failure.kind in CONNECTION_FAILURES or forwarding.was_agent_lost:
        process.members.report_silent(instance.instance_id)
    log_event(
        "try_failed",
        request_id=forwarding.request.request_id,
        to=instance.instance_id,
        kind=failure.kind,
        outcome=failure.outcome,
        reason=failure.reason,
        retry_after_s=failure.retry_after_s,
        is_agent_lost=forwarding.was_agent_lost,
        attempt=forwarding.tries,
    )


def _may_try_again(process: Any, forwarding: ForwardingState, failure: Failure) -> bool:
    request = forwarding.request
    try_count = max(forwarding.charged_tries, forwarding.free_tries)
    if try_count >= process.settings.max_attempts:
        return False
    if forwarding.remaining_s <= 0:
        return False
    if failure.kind is ErrorKind.LOAD_BOUND and forwarding.is_last_try:
        return False
    waited_s = time.monotonic() - forwarding.started_s
    if failure.kind is ErrorKind.OVERLOADED and waited_s > MAX_AGE_FOR_REQUEUE_S:
        return False
    if not may_retry_elsewhere(
        failure, idempotent=request.idempotent, agent_lost=forwarding.was_agent_lost
    ):
        return False
    if forwarding.chunks and not (request.streaming and forwarding.engine_version):
        return False
    return is_exempt_from_budget(failure) or process.retry_budgets.spend(request.pool)


def _make_final_failure(forwarding: ForwardingState, failure: Failure) -> Failure:
    """Return the failure for the caller, which must hold for all tries together."""
    if forwarding.chunks and failure.kind is not ErrorKind.DEADLINE_EXCEEDED:
        return make_failure(ErrorKind.ANSWER_INTERRUPTED, failure.reason)
    if not forwarding.is_surely_not_run and failure.outcome is Outcome.NOT_RUN:
        failure = replace(failure, outcome=Outcome.UNKNOWN)
    retry_after_s = choose_retry_after([*forwarding.try_failures, failure])
    return replace(failure, retry_after_s=retry_after_s)


async def _try_instance(
    process: Any, forwarding: ForwardingState, instance: Instance
) -> Final | Failure:
    """Send the request to one agent and relay its response to the end."""
    forwarding.tries += 1
    forwarding.prior_chunk_count = len(forwarding.chunks)
    forwarding.next_sequence = 0
    forwarding.was_agent_lost = False
    forwarding.is_accepted = False
    log_event(
        "try_started",
        request_id=forwarding.request.request_id,
        to=instance.instance_id,
        attempt=forwarding.tries,
        policy=forwarding.policy,
        usable=len(process.members.instances(forwarding.request.pool)),
        known_load=process.exchange.loads(forwarding.request.pool).get(
            instance.instance_id, "unknown"
        ),
        list_revision=process.list_follower.history.listed.revision,
        is_last=forwarding.is_last_try,
    )
    stream = await process.peers.open_stream(
        instance.address, RequestId(forwarding.request.request_id)
    )
    if isinstance(stream, Failure):
        forwarding.deprioritized.add(instance.instance_id)
        return replace(stream, outcome=Outcome.NOT_RUN)
    # The agent stores the response of this try under the request id, so it is not tried
    # again.
    forwarding.excluded.add(instance.instance_id)
    with start_span(
        "router.try", forwarding.request.traceparent, to=instance.instance_id
    ) as span:
        stream.send(make_open_message(process, forwarding, span.traceparent))
        return await receive_response(process, forwarding, instance, stream)
