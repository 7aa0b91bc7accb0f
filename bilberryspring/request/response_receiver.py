"""Receipt of a response from an agent, with reattachment over new connections."""

import asyncio
import time
from dataclasses import replace
from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.link import LinkLost
from bilberryspring.connection.messages import (
    Accepted,
    Attach,
    Cancel,
    Chunk,
    Credit,
    Final,
    Open,
    Refused,
)
from bilberryspring.connection.peers import RequestStream
from bilberryspring.identifiers import EngineVersion, RequestId
from bilberryspring.request.buffered_response import ChunkDigest
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.request.forwarding_state import ForwardingState, make_open_message

__all__ = ["attach_to_response", "receive_response"]

REATTACH_TIMEOUT_S = 2.5
REATTACH_PAUSE_S = 0.1
WINDOW_CHUNKS = 256
# Credit is renewed when at most this many chunks of it are left.
CREDIT_RENEWAL_CHUNKS = 192


async def attach_to_response(
    process: Any,
    forwarding: ForwardingState,
    instance: Instance,
    next_sequence: int,
) -> Final | Failure:
    """Receive the rest of a response that was started over another connection.

    The request may have been sent by another router.

    :param process: the router.
    :param forwarding: the request; only its id, workspace and sink are used.
    :param instance: agent that buffers the response.
    :param next_sequence: sequence number of the first chunk that the caller needs.
    :returns: the final frame of a complete response, or a failure.
    """
    forwarding.next_sequence = next_sequence
    request = forwarding.request
    stream = await process.peers.open_stream(
        instance.address, RequestId(request.request_id)
    )
    if isinstance(stream, Failure):
        return make_failure(ErrorKind.UNKNOWN_ANSWER, stream.reason)
    stream.send(Attach(request.request_id, request.workspace, next_sequence))
    result = await receive_response(process, forwarding, instance, stream)
    if isinstance(result, Failure) and result.kind is ErrorKind.UNKNOWN_ANSWER:
        return replace(result, outcome=Outcome.UNKNOWN)
    return result


async def receive_response(
    process: Any, forwarding: ForwardingState, instance: Instance, stream: RequestStream
) -> Final | Failure:
    """Deliver chunks until the response ends, reattaching after a lost connection.

    :param process: the router.
    :param forwarding: the request; its sink receives the chunks.
    :param instance: agent that has the request.
    :param stream: stream over which the request was sent to the agent.
    :returns: the final frame of a complete response, or a failure. ``was_agent_lost``
        of the forwarding is set if the router lost the agent; otherwise the agent may
        have reported the failure.
    """
    incarnation = stream.link.incarnation
    digest = ChunkDigest()
    while True:
        try:
            result = await _receive_until_end(forwarding, instance, stream, digest)
        except TimeoutError:
            stream.send(Cancel(forwarding.request.request_id))
            return make_failure(ErrorKind.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            stream.send(Cancel(forwarding.request.request_id))
            raise
        finally:
            stream.close()
        if not isinstance(result, LinkLost):
            return result
        new_stream = await _reattach(process, forwarding, instance, incarnation)
        if isinstance(new_stream, Failure):
            return new_stream
        stream, digest = new_stream, ChunkDigest()


async def _reattach(
    process: Any, forwarding: ForwardingState, instance: Instance, incarnation: str
) -> RequestStream | Failure:
    """Attach to the response over a new connection to the same agent process."""
    request = forwarding.request
    retry_until_s = min(time.monotonic() + REATTACH_TIMEOUT_S, forwarding.deadline_s)
    while time.monotonic() < retry_until_s:
        stream = await process.peers.open_stream(
            instance.address, RequestId(request.request_id)
        )
        if isinstance(stream, Failure):
            await asyncio.sleep(REATTACH_PAUSE_S)
            continue
        if stream.link.incarnation != incarnation:
            stream.close()
            break
        stream.send(_make_resume_message(process, forwarding))
        return stream
    forwarding.was_agent_lost = True
    reason = f"{instance.instance_id} restarted or became unreachable"
    return make_failure(ErrorKind.OUTCOME_UNKNOWN, reason)


def _make_resume_message(process: Any, forwarding: ForwardingState) -> Open | Attach:
    """Return the message that continues a request over a new connection.

    An ``Open`` message makes the agent run the request if it has not received it
    before, and only attaches otherwise.
    """
    request = forwarding.request
    if forwarding.is_accepted:
        return Attach(request.request_id, request.workspace, forwarding.next_sequence)
    return make_open_message(process, forwarding, request.traceparent)


async def _receive_until_end(
    forwarding: ForwardingState,
    instance: Instance,
    stream: RequestStream,
    digest: ChunkDigest,
) -> Final | Failure | LinkLost:
    """Deliver chunks from one connection until the connection or the response ends.

    :raises TimeoutError: if the deadline passes.
    """
    credit_limit = forwarding.next_sequence + WINDOW_CHUNKS
    async with asyncio.timeout(max(forwarding.remaining_s, 0)):
        while True:
            event = await stream.receive()
            match event:
                case Chunk():
                    if event.sequence != forwarding.next_sequence:
                        continue  # sent before this router reattached
                    digest.add(event.sequence, event.data)
                    await _deliver(forwarding, instance, event)
                    if event.sequence >= credit_limit - CREDIT_RENEWAL_CHUNKS:
                        credit_limit = event.sequence + WINDOW_CHUNKS
                        stream.send(Credit(event.request_id, credit_limit))
                case Accepted():
                    forwarding.engine_version = EngineVersion(event.engine_version)
                    forwarding.is_surely_not_run = False
                    forwarding.is_accepted = True
                case Final():
                    return _verify_final(forwarding, event, digest)
                case Refused():
                    return _decode_failure(event)
                case LinkLost():
                    return event


async def _deliver(
    forwarding: ForwardingState, instance: Instance, chunk: Chunk
) -> None:
    forwarding.chunks.append(chunk.data)
    forwarding.next_sequence += 1
    await forwarding.sink.write(instance.instance_id, chunk.sequence, chunk.data)


def _verify_final(
    forwarding: ForwardingState, final: Final, digest: ChunkDigest
) -> Final | Failure:
    """Return the final frame if every chunk arrived unchanged, else a failure."""
    is_complete = (
        final.chunk_count == forwarding.next_sequence and final.digest == digest.value
    )
    if is_complete:
        return final
    reason = (
        f"received {forwarding.next_sequence} of {final.chunk_count} chunks, "
        "or the digest of the response does not match"
    )
    return make_failure(ErrorKind.ANSWER_INTERRUPTED, reason)


def _decode_failure(refused: Refused) -> Failure:
    try:
        kind, outcome = ErrorKind(refused.kind), Outcome(refused.outcome)
    except ValueError:
        kind, outcome = ErrorKind.INTERNAL, Outcome.UNKNOWN
    failure = make_failure(
        kind,
        refused.reason,
        outcome=outcome,
        retry_after_s=refused.retry_after_s,
        hint=refused.hint,
    )
    return replace(failure, crash_ids=refused.crash_ids)
