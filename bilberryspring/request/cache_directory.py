"""Bounded directory of the locations of chats' KV caches.

An agent stores an entry for each chat whose prompt its engine has computed, and, as the
home of a chat, for a chat that overflow sent to another engine. The longest prefix
takes precedence; of two equally long ones the later.
"""

import json
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import pydantic_core
import xxhash

from bilberryspring.connection.cache_directory_messages import CacheLocation
from bilberryspring.identifiers import ChatKey, EngineVersion
from bilberryspring.malformed_input import MALFORMED_ERRORS

__all__ = ["CacheDirectory", "digest_prefixes", "read_messages"]

MAX_ENTRIES = 8_192
PLAIN_MESSAGE_KEYS = {"role", "content"}


@dataclass(frozen=True, slots=True)
class _Entry:
    location: CacheLocation
    stored_s: float


class CacheDirectory:
    """Cache locations by chat, with eviction of the least recently used entry.

    :param max_entries: maximum number of chats.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        max_entries: int = MAX_ENTRIES,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._max_entries = max_entries
        self._clock = clock
        self._entries: OrderedDict[ChatKey, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, location: CacheLocation) -> None:
        """Store a location unless a longer prefix of the same version is known."""
        known = self.find(location.chat_key)
        if (
            known is not None
            and known.engine_version == location.engine_version
            and known.message_count > location.message_count
        ):
            return
        self._entries[location.chat_key] = _Entry(location, self._clock())
        self._entries.move_to_end(location.chat_key)
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def find(self, chat_key: ChatKey) -> CacheLocation | None:
        """Return the location of a chat's KV cache and mark it as recently used.

        :param chat_key: key of the chat.
        """
        entry = self._entries.get(chat_key)
        if entry is None:
            return None
        self._entries.move_to_end(chat_key)
        return entry.location

    def compute_age_s(self, chat_key: ChatKey) -> float:
        """Return the time since a chat's location was stored; zero if there is none."""
        entry = self._entries.get(chat_key)
        return 0.0 if entry is None else self._clock() - entry.stored_s

    def remove(self, location: CacheLocation) -> None:
        """Remove a location that proved wrong, unless it has been replaced since.

        :param location: the location as it was found.
        """
        entry = self._entries.get(location.chat_key)
        if entry is not None and entry.location == location:
            del self._entries[location.chat_key]

    def remove_other_versions(self, version: EngineVersion) -> None:
        """Remove every location of another engine version.

        :param version: version that this agent's engine runs now.
        """
        self._entries = OrderedDict(
            (chat_key, entry)
            for chat_key, entry in self._entries.items()
            if entry.location.engine_version == version
        )


def read_messages(body: bytes) -> list[object]:
    """Return the messages of a chat completion.

    :param body: JSON body of the request.
    :returns: the messages; empty if the body is invalid or has no list of messages.
    """
    try:
        messages = pydantic_core.from_json(body).get("messages")
    except MALFORMED_ERRORS:
        return []
    return messages if isinstance(messages, list) else []


def digest_prefixes(messages: list[object]) -> list[str]:
    """Return the digest of each prefix of a conversation, the empty prefix first.

    :param messages: messages of the conversation.

    >>> one, two = {"role": "user", "content": "a"}, {"role": "user", "content": "b"}
    >>> digest_prefixes([one, two])[:2] == digest_prefixes([one])
    True
    """
    digest = xxhash.xxh3_128()
    digests = [digest.hexdigest()]
    for message in messages:
        digest.update(_encode_message(message))
        digests.append(digest.hexdigest())
    return digests


def _encode_message(message: object) -> bytes:
    """Encode a message so that concatenated encodings are unambiguous."""
    if isinstance(message, dict) and message.keys() == PLAIN_MESSAGE_KEYS:
        role, content = message["role"], message["content"]
        if isinstance(role, str) and isinstance(content, str):
            text = f"{len(role)} {len(content)} {role}{content}"
            return text.encode("utf-8", "surrogatepass")
    text = json.dumps(message, ensure_ascii=False, sort_keys=True)
    return f"{text}\n".encode("utf-8", "surrogatepass")
