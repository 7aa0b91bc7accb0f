"""Index in which an agent stores the locations of the KV caches of chats."""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from bilberryspring.connection.cache_directory_messages import CacheLocation
from bilberryspring.connection.messages import Open
from bilberryspring.identifiers import ChatKey, EngineVersion, InstanceId, RequestId
from bilberryspring.request.cache_directory import (
    CacheDirectory,
    digest_prefixes,
    read_messages,
)
from bilberryspring.request.eviction_age import EvictionAge

__all__ = ["CacheIndex"]

# Requests whose prefix digests and expected cache hits are kept until they end.
MAX_TRACKED_REQUESTS = 256


@dataclass(frozen=True, slots=True)
class _ExpectedHit:
    """Expected cache hit of a request.

    :param age_s: age of the cached prefix.
    :param prompt_share: length of the prefix as a fraction of the prompt.
    """

    age_s: float
    prompt_share: float


class CacheIndex:
    """Directory of cached prefixes, with an eviction estimate for the local engine.

    :param own_id: this agent.
    :param get_version: returns the version of this agent's engine.
    """

    def __init__(
        self, own_id: InstanceId, get_version: Callable[[], EngineVersion]
    ) -> None:
        self.directory = CacheDirectory()
        self._own_id = own_id
        self._get_version = get_version
        self._eviction_age = EvictionAge()
        self._prefix_digests: OrderedDict[RequestId, list[str]] = OrderedDict()
        self._expected_hits: OrderedDict[RequestId, _ExpectedHit] = OrderedDict()

    def find(self, chat_key: ChatKey) -> CacheLocation | None:
        """Return the known location of a chat's KV cache.

        :param chat_key: key of the chat.
        :returns: the location; ``None`` if it is not known, or if the local engine has
            probably evicted the cache.
        """
        location = self.directory.find(chat_key)
        if location is not None and location.holder == self._own_id:
            age_s = self.directory.compute_age_s(chat_key)
            return None if self._eviction_age.is_evicted(age_s) else location
        return location

    def estimate_cached_tokens(self, request: Open) -> int:
        """Return the estimated number of prompt tokens in the local engine's cache.

        The expected hit is stored until the response reports the actual one.

        :param request: a chat completion.
        """
        location = self.directory.find(ChatKey(request.chat_key))
        if location is None or location.holder != self._own_id:
            return 0
        if not self.is_valid_prefix(location, request):
            return 0
        age_s = self.directory.compute_age_s(location.chat_key)
        tokens = min(location.tokens, request.prompt_tokens)
        expected = _ExpectedHit(age_s, tokens / max(request.prompt_tokens, 1))
        self._expected_hits.setdefault(RequestId(request.request_id), expected)
        if len(self._expected_hits) > MAX_TRACKED_REQUESTS:
            self._expected_hits.popitem(last=False)
        if self._eviction_age.is_evicted(age_s):
            return 0
        return tokens

    def record_computed(
        self, request: Open, usage: Mapping[str, Any]
    ) -> CacheLocation | None:
        """Record that the local engine has the prompt of a request in its cache.

        :param request: a chat completion that the engine has completed.
        :param usage: the ``usage`` object of the engine's response.
        :returns: location of the cache; ``None`` if the usage contains no prefix
            digest.
        """
        prefix_digest = usage.get("prefix_digest")
        if not prefix_digest:
            return None
        self._update_eviction_age(request, usage)
        prefixes = self._get_prefix_digests(request)
        self._prefix_digests.pop(RequestId(request.request_id), None)
        location = CacheLocation(
            ChatKey(request.chat_key),
            self._own_id,
            prefix_digest,
            len(prefixes) - 1,
            prefixes[-1],
            request.prompt_tokens,
            self._get_version(),
        )
        self.directory.put(location)
        return location

    def record_copy(self, request: Open) -> None:
        """Record that a KV cache was copied to the local engine for a request.

        The expected hit is dropped, because the response will report the copied prefix
        and not what the local engine had cached.

        :param request: a chat completion that is waiting in the queue.
        """
        self._expected_hits.pop(RequestId(request.request_id), None)

    def is_valid_prefix(self, location: CacheLocation, request: Open) -> bool:
        """Return whether a cache is a valid prefix of the request's prompt.

        :param location: location of the cache.
        :param request: a chat completion.
        """
        if location.engine_version != self._get_version():
            return False
        prefixes = self._get_prefix_digests(request)
        if len(prefixes) <= location.message_count:
            return False
        return prefixes[location.message_count] == location.messages_digest

    def _get_prefix_digests(self, request: Open) -> list[str]:
        """Return the digest of each prefix of the request's messages, computed once."""
        request_id = RequestId(request.request_id)
        prefixes = self._prefix_digests.get(request_id)
        if prefixes is None:
            prefixes = digest_prefixes(read_messages(request.body))
            self._prefix_digests[request_id] = prefixes
            if len(self._prefix_digests) > MAX_TRACKED_REQUESTS:
                self._prefix_digests.popitem(last=False)
        return prefixes

    def _update_eviction_age(self, request: Open, usage: Mapping[str, Any]) -> None:
        expected = self._expected_hits.pop(RequestId(request.request_id), None)
        details = usage.get("prompt_tokens_details")
        prompt_tokens = usage.get("prompt_tokens")
        if expected is not None and details and prompt_tokens:
            cached_share = details.get("cached_tokens", 0) / prompt_tokens
            self._eviction_age.update(
                expected.age_s, expected.prompt_share, cached_share
            )
