"""Prefix cache of the model engine stand-in, with delayed and lost events."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

__all__ = ["CacheEventKind", "CacheEvent", "CachedPrefix", "PrefixCache"]

MAX_EVENTS = 20_000


class CacheEventKind(Enum):
    """Kind of change to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache.

    :param sequence: number of the event, from one; a lost event leaves a gap.
    :param kind: kind of the change.
    :param prefix_digest: digest of the prefix.
    :param tokens: length of the whole prefix in tokens.
    :param published_s: time of publication in seconds, on the clock of the cache.
    """

    sequence: int
    kind: CacheEventKind
    prefix_digest: str
    tokens: int
    published_s: float


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """A cached prefix of whole messages.

    :param prefix_digest: digest of the prefix.
    :param parent_digest: digest of the prefix without its last message; empty for a
        prefix of one message.
    :param own_tokens: tokens of the last message.
    :param tokens: tokens of the whole prefix.
    """

    prefix_digest: str
    parent_digest: str
    own_tokens: int
    tokens: int


class PrefixCache:
    """LRU cache of prefixes of whole messages.

    :param capacity_tokens: capacity in tokens.
    :param event_lag_s: delay until an event is published.
    :param event_loss: probability that an event is never published, from 0 to 1.
    :param seed: seed of the random choice of the lost events.
    :param clock: function that returns the time in seconds.
    :param on_event: function called with each event, including the lost ones.
    """

    def __init__(
        self,
        capacity_tokens: int,
        event_lag_s: float,
        event_loss: float,
        seed: int,
        clock: Callable[[], float],
        on_event: Callable[[CacheEvent], None],
    ):
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.evicted_tokens = 0
        self._event_lag_s = event_lag_s
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._clock = clock
        self._on_event = on_event
        self._prefixes: OrderedDict[str, CachedPrefix] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def count_cached(self, digests: Sequence[str]) -> int:
        """Return the tokens of the longest cached prefix and mark it as recently used.

        :param digests: digest of each prefix of the prompt, shortest first.
        :returns: tokens of the longest cached prefix; zero if none is cached.
        """
        cached_digests = [digest for digest in digests if digest in self._prefixes]
        # Moved longest first, so that a prefix is evicted before its shorter prefixes.
        for digest in reversed(cached_digests):
            self._prefixes.move_to_end(digest)
        return self._prefixes[cached_digests[-1]].tokens if cached_digests else 0

    def store(self, digests: Sequence[str], message_tokens: Sequence[int]) -> None:
        """Store each prefix of a conversation that fits, and evict others to make room.

        :param digests: digest of each prefix, shortest first.
        :param message_tokens: tokens of each message, in order.
        """
        tokens = 0
        parent = ""
        for digest, own_tokens in zip(digests, message_tokens, strict=True):
            tokens += own_tokens
            if tokens > self.capacity_tokens:
                break
            if digest not in self._prefixes:
                self._store_prefix(CachedPrefix(digest, parent, own_tokens, tokens))
            parent = digest
        self.count_cached(digests)
        self._evict_to_capacity()

    def export(self, digest: str) -> list[CachedPrefix]:
        """Return a prefix and its shorter cached prefixes, shortest first.

        :param digest: digest of the prefix.
        :returns: the prefixes; empty if the prefix is not cached.
        """
        prefixes: list[CachedPrefix] = []
        while digest in self._prefixes:
            prefixes.append(self._prefixes[digest])
            digest = prefixes[-1].parent_digest
        return prefixes[::-1]

    def import_prefixes(self, prefixes: Sequence[CachedPrefix]) -> None:
        """Store the prefixes that another engine exported.

        :param prefixes: the prefixes, shortest first.
        """
        self.store(
            [prefix.prefix_digest for prefix in prefixes],
            [prefix.own_tokens for prefix in prefixes],
        )

    def clear(self) -> None:
        """Evict every prefix."""
        while self._prefixes:
            self._evict_oldest()

    def list_events(self, after: int) -> list[CacheEvent]:
        """Return the published events that follow a sequence number.

        :param after: sequence number of the last event that the reader has; zero for
            none.
        """
        now_s = self._clock()
        return [
            event
            for event in self._events
            if event.sequence > after and event.published_s <= now_s
        ]

    def _store_prefix(self, prefix: CachedPrefix) -> None:
        self._prefixes[prefix.prefix_digest] = prefix
        self.used_tokens += prefix.own_tokens
        self._publish(CacheEventKind.STORED, prefix)

    def _evict_to_capacity(self) -> None:
        while self.used_tokens > self.capacity_tokens:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        _, prefix = self._prefixes.popitem(last=False)
        self.used_tokens -= prefix.own_tokens
        self.evicted_tokens += prefix.own_tokens
        self._publish(CacheEventKind.EVICTED, prefix)

    def _publish(self, kind: CacheEventKind, prefix: CachedPrefix) -> None:
        self._sequence += 1
        published_s = self._clock() + self._event_lag_s
        event = CacheEvent(
            self._sequence, kind, prefix.prefix_digest, prefix.tokens, published_s
        )
        self._on_event(event)
        if self._random.random() >= self._event_loss:
            self._events.append(event)
