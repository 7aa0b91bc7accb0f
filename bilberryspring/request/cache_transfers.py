"""Transfer of a returning chat's KV cache to the engine that will serve the request.

The home of a chat, its first-ranked agent, stores which engine has the chat's KV cache
after overflow. An agent that receives a request whose cache is on another engine copies
the cache while the request waits in the queue, if that is faster than computing the
prompt again. The transfer is only an optimization: if it fails, the engine computes the
prompt.
"""

import asyncio
import time
from collections.abc import Mapping
from typing import Any

import aiohttp

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.connection.cache_directory_messages import (
    CacheLocation,
    decode_location,
    encode_location,
)
from bilberryspring.connection.calls import register_call_handler
from bilberryspring.connection.frames import MAX_FRAME_BYTES
from bilberryspring.connection.http_bodies import BodyTooLargeError, read_body
from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import ChatKey, InstanceId, PoolName
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.process.logs import log_event
from bilberryspring.request.cache_index import CacheIndex
from bilberryspring.request.engine_control import make_engine_session
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.request.home_agents import CacheHomes
from bilberryspring.request.token_rate import TokenRate

__all__ = ["CacheTransfers", "make_cache_transfers"]

MIN_TRANSFER_TOKENS = 200
LOOKUP_TIMEOUT_S = 0.25
TRANSFER_TIMEOUT_S = 5.0
# Initial estimates until the first transfer and the first prefill are measured.
ASSUMED_TRANSFER_TOKENS_PER_S = 200_000.0
ASSUMED_PREFILL_TOKENS_PER_S = 10_000.0
# Maximum expected duration of a transfer, as a fraction of the prefill time it saves.
MAX_TRANSFER_COST_RATIO = 0.8
TRANSFER_ERRORS = (TimeoutError, aiohttp.ClientError, OSError, BodyTooLargeError)


class CacheTransfers:
    """Transfers of KV caches to and from the engine of one agent.

    :param process: the agent; its settings, members, peers, ledger and backend are
        used.
    :ivar transfer_rate: measured transfer rate, in tokens per second.
    :ivar prefill_rate: measured prefill rate of the local engine, in tokens per second.
    :ivar index: locations of the KV caches of chats.
    """

    def __init__(self, process: Any):
        self.transfer_rate = TokenRate(ASSUMED_TRANSFER_TOKENS_PER_S)
        self.prefill_rate = TokenRate(ASSUMED_PREFILL_TOKENS_PER_S)
        self._process = process
        self._own_id = InstanceId(process.settings.instance_id)
        self._pool = PoolName(process.settings.pool)
        self._session: aiohttp.ClientSession | None = None
        self._homes = CacheHomes(process.members, self._pool)
        self.index = CacheIndex(self._own_id, lambda: process.backend.engine_version)

    async def start(self) -> None:
        """Open the HTTP session to the local engine."""
        self._session = make_engine_session(TRANSFER_TIMEOUT_S)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def fetch(self, request: Open) -> bool:
        """Copy the chat's KV cache from another engine if that saves time.

        :param request: a chat completion that is waiting in the queue.
        :returns: whether a cache was copied.
        """
        if request.prompt_tokens < MIN_TRANSFER_TOKENS or not request.chat_key:
            return False
        location = await self._locate(request)
        if location is None or location.holder == self._own_id:
            return False
        if not self._is_worthwhile(location):
            return False
        prefill_s = location.tokens / self.prefill_rate.estimate()
        try:
            async with asyncio.timeout(min(TRANSFER_TIMEOUT_S, max(prefill_s, 0.2))):
                return await self._copy(location, request)
        except TRANSFER_ERRORS as error:
            log_event("cache_move_failed", level="WARNING", error=repr(error))
            return False

    def record_prefill(self, computed_tokens: int, duration_s: float) -> None:
        """Update the prefill rate of the local engine.

        :param computed_tokens: number of prompt tokens that were not cached; a small
            number is ignored.
        :param duration_s: time from sending the request to the first token.
        """
        if computed_tokens >= MIN_TRANSFER_TOKENS:
            self.prefill_rate.record(computed_tokens, duration_s)

    async def report_computed(self, request: Open, usage: Mapping[str, Any]) -> None:
        """Report to the chat's home that the local engine has its KV cache.

        :param request: a chat completion that the engine has completed.
        :param usage: the ``usage`` object of the engine's response; nothing is reported
            if it contains no prefix digest.
        """
        location = self.index.record_computed(request, usage)
        if location is None:
            return
        home = self._homes.rank_homes(location.chat_key)[:1]
        if home and home[0].instance_id != self._own_id:
            payload = encode_location(location)
            await self._call(home[0], "directory.put", payload, LOOKUP_TIMEOUT_S)

    async def export(self, prefix_digest: str) -> bytes | Failure:
        """Return the KV cache of a prefix in the export format of the local engine.

        :param prefix_digest: digest by which the engine identifies the prefix.
        :returns: the exported cache; ``BACKEND_UNREACHABLE`` if the engine does not
            respond, ``UNKNOWN_ANSWER`` if the prefix is not cached.
        """
        url = f"http://{self._process.settings.backend_address}/v1/kv/export"
        body = {"prefix_digest": prefix_digest}
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                async with self._session.post(url, json=body) as reply:
                    content = await read_body(reply, MAX_FRAME_BYTES)
        except TRANSFER_ERRORS as error:
            return make_failure(ErrorKind.BACKEND_UNREACHABLE, repr(error))
        if reply.status != 200:
            return make_failure(ErrorKind.UNKNOWN_ANSWER, "the prefix is not cached")
        return content

    async def _locate(self, request: Open) -> CacheLocation | None:
        """Return the location of the longest known cached prefix of the request.

        The homes of the chat are queried unless the local engine already has nearly all
        of the prompt.
        """
        chat_key = ChatKey(request.chat_key)
        candidates = [self.index.find(chat_key)]
        uncached_tokens = request.prompt_tokens - self.index.estimate_cached_tokens(
            request
        )
        if uncached_tokens > MIN_TRANSFER_TOKENS:
            candidates += [await self._look_up(chat_key)]
        valid = [
            location
            for location in candidates
            if location is not None and self.index.is_valid_prefix(location, request)
        ]
        return max(valid, key=lambda location: location.message_count, default=None)

    async def _look_up(self, chat_key: ChatKey) -> CacheLocation | None:
        """Query the leaving homes, the home, and the next agent, in this order."""
        homes = self._homes.rank_homes(chat_key)
        for home in [*self._homes.rank_leaving(chat_key, homes), *homes]:
            if home.instance_id == self._own_id:
                continue
            payload = chat_key.encode()
            reply = await self._call(
                home, "directory.lookup", payload, LOOKUP_TIMEOUT_S
            )
            location = decode_location(reply) if isinstance(reply, bytes) else None
            if isinstance(location, CacheLocation) and location.chat_key == chat_key:
                return location
        return None

    def _is_worthwhile(self, location: CacheLocation) -> bool:
        # The cache is read from one engine and written to the other.
        transfer_s = 2 * location.tokens / self.transfer_rate.estimate()
        prefill_s = location.tokens / self.prefill_rate.estimate()
        return transfer_s <= MAX_TRANSFER_COST_RATIO * prefill_s

    async def _copy(self, location: CacheLocation, request: Open) -> bool:
        holder = self._process.members.find(location.holder)
        if holder is None:
            return False
        started_s = time.monotonic()
        exported = await self._call(
            holder, "cache.export", location.prefix_digest.encode(), TRANSFER_TIMEOUT_S
        )
        if isinstance(exported, Failure):
            self.index.directory.remove(location)
            return False
        url = f"http://{self._process.settings.backend_address}/v1/kv/import"
        headers = {"Content-Type": "application/json"}
        async with self._session.post(url, data=exported, headers=headers) as reply:
            await read_body(reply, MAX_FRAME_BYTES)
        if reply.status != 200:
            return False
        self.index.record_copy(request)
        duration_s = time.monotonic() - started_s
        self.transfer_rate.record(2 * location.tokens, duration_s)
        log_event(
            "cache_moved",
            level="DEBUG",
            holder=location.holder,
            tokens=location.tokens,
            duration_s=duration_s,
        )
        return True

    async def _call(
        self, node: Instance, method: str, payload: bytes, timeout_s: float
    ) -> bytes | Failure:
        reply = await self._process.peers.call(node.address, method, payload, timeout_s)
        received_bytes = 0 if isinstance(reply, Failure) else len(reply)
        if method != "cache.export":
            self._process.ledger.count(
                ControlMechanism.DIRECTORY,
                sent_bytes=len(payload),
                received_bytes=received_bytes,
            )
        return reply


@register_call_handler("directory.lookup")
async def handle_lookup(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Return the location of a chat's KV cache.

    :param process: this agent.
    :param payload: key of the chat.
    :param caller: agent that makes the call.
    """
    chat_key = ChatKey(payload.decode(errors="replace"))
    location = process.cache_moves.index.find(chat_key)
    if location is None:
        return make_failure(ErrorKind.UNKNOWN_ANSWER, "no cache location for this chat")
    return encode_location(location)


@register_call_handler("directory.put")
async def handle_put(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Store the location of a chat's KV cache, which only its holder may report.

    :param process: this agent.
    :param payload: the encoded location.
    :param caller: agent that makes the call.
    """
    location = decode_location(payload)
    if isinstance(location, Failure):
        return location
    if location.holder != caller:
        return make_failure(
            ErrorKind.FORBIDDEN, "only the holder of a cache may report its location"
        )
    process.cache_moves.index.directory.put(location)
    return b""


@register_call_handler("cache.export")
async def handle_export(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Return the exported KV cache of a prefix.

    :param process: this agent.
    :param payload: digest of the prefix.
    :param caller: agent that makes the call.
    """
    return await process.cache_moves.export(payload.decode(errors="replace"))


def make_cache_transfers(process: Any) -> CacheTransfers:
    """Return the KV cache transfers of an agent, not started.

    :param process: the agent.
    """
    return CacheTransfers(process)
