"""Bound on the memory of what others send, over all connections of a process.

A limit for each message doesn't bound their sum. Above the bound, messages are given up
until the rest fits, first those of the sender that holds the most in messages that are
least likely to become an answer. Of messages without progress, those that have waited
for longest come first.
"""

import time
from collections.abc import Callable
from enum import Enum

__all__ = ["MemoryBound", "MemoryHolder", "MessageKind", "make_memory_bound"]


class MessageKind(Enum):
    """What the bytes of a message may become."""

    ANSWER = "answer"
    """A message of a stated length."""
    WITHOUT_LENGTH = "without_length"
    """A message whose length its sender has not stated."""
    FAILURE = "failure"
    """A failure, whose bytes only explain it."""
    UNREAD = "unread"
    """A response whose receiver does not read it."""
    ACCEPTED = "accepted"
    """A complete message in use, which is never given up."""


# How readily messages are given up, for each byte that they hold.
_WEIGHTS = {
    MessageKind.ANSWER: 1,
    MessageKind.WITHOUT_LENGTH: 4,
    MessageKind.FAILURE: 8,
    # A refused request has not run; a response that is cut off has.
    MessageKind.UNREAD: 0.25,
    MessageKind.ACCEPTED: 0,
}
# Giving up a message that holds less frees hardly anything.
MIN_VICTIM_BYTES = 4 * 1024
# A message that has not grown for this long counts as twice as large.
STALL_S = 1.0


class MemoryHolder:
    """Memory that one message holds.

    :param bound: bound that the memory counts towards.
    :param sender: name of the message's sender.
    :param give_up: called if the message has to be given up; it must release the
        memory.
    :ivar kind: what the message may become.
    :ivar size_bytes: memory that it holds.
    :ivar changed_s: when this memory changed.
    """

    __slots__ = ("_bound", "sender", "give_up", "kind", "size_bytes", "changed_s")

    def __init__(self, bound: "MemoryBound", sender: str, give_up: Callable[[], None]):
        self._bound = bound
        self.sender = sender
        self.give_up = give_up
        self.kind = MessageKind.WITHOUT_LENGTH
        self.size_bytes = 0
        self.changed_s = 0.0

    def set_size(self, size_bytes: int) -> None:
        """Change the memory that the message holds, and give up messages if needed.

        :param size_bytes: memory in bytes.
        """
        if size_bytes != self.size_bytes:
            self._bound.change(self, size_bytes)

    def release(self) -> None:
        """Record that the message holds no memory any more."""
        self.set_size(0)


class MemoryBound:
    """Memory that the messages of other processes may hold in total.

    :param limit_bytes: the bound.
    :param weighs_stalls: whether messages without progress are given up first.
    :ivar limit_bytes: the bound.
    :ivar held_bytes: memory that the messages hold.
    :ivar given_up_count: number of messages that were given up.
    """

    def __init__(self, limit_bytes: int, weighs_stalls: bool):
        self.limit_bytes = limit_bytes
        self._weighs_stalls = weighs_stalls
        self._holders: set[MemoryHolder] = set()
        self.held_bytes = 0
        self.given_up_count = 0

    def make_holder(self, sender: str, give_up: Callable[[], None]) -> MemoryHolder:
        """Return a holder without memory.

        :param sender: name of the message's sender.
        :param give_up: called if the message has to be given up.
        """
        return MemoryHolder(self, sender, give_up)

    def change(self, holder: MemoryHolder, size_bytes: int) -> None:
        """Change the memory of a holder, and give up messages above the bound.

        :param holder: the holder.
        :param size_bytes: memory in bytes that it holds now.
        """
        self.held_bytes += size_bytes - holder.size_bytes
        is_growing = size_bytes > holder.size_bytes
        holder.size_bytes = size_bytes
        if self._weighs_stalls:
            holder.changed_s = time.monotonic()
        if size_bytes:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)
        while is_growing and self.held_bytes > self.limit_bytes:
            victim = self._find_victim()
            if victim is None:
                return
            self.given_up_count += 1
            victim.give_up()
            victim.release()

    def _find_victim(self) -> MemoryHolder | None:
        """Return the message to give up: the worst one of the worst sender."""
        candidates = [each for each in self._holders if _WEIGHTS[each.kind]]
        now_s = time.monotonic() if self._weighs_stalls else 0.0
        weights: dict[str, float] = {}
        for holder in candidates:
            weight = _compute_weight(holder, now_s)
            weights[holder.sender] = weights.get(holder.sender, 0) + weight
        large = [each for each in candidates if each.size_bytes >= MIN_VICTIM_BYTES]
        return max(
            large or candidates,
            key=lambda holder: (
                weights[holder.sender],
                _compute_weight(holder, now_s),
            ),
            default=None,
        )


def _compute_weight(holder: MemoryHolder, now_s: float) -> float:
    stalled_s = now_s - holder.changed_s
    return holder.size_bytes * _WEIGHTS[holder.kind] * (1 + stalled_s / STALL_S)


def make_memory_bound(limit_bytes: int, weighs_stalls: bool = False) -> MemoryBound:
    """Return a bound without messages.

    :param limit_bytes: memory in bytes that the messages may hold in total.
    :param weighs_stalls: whether messages without progress are given up first.

    >>> given_up = []
    >>> bound = make_memory_bound(100_000)
    >>> endless = bound.make_holder("s1", lambda: given_up.append("s1"))
    >>> sound = bound.make_holder("s2", lambda: given_up.append("s2"))
    >>> sound.kind = MessageKind.ANSWER
    >>> sound.set_size(60_000)
    >>> endless.set_size(50_000)
    >>> given_up, bound.held_bytes
    (['s1'], 60000)
    """
    return MemoryBound(limit_bytes, weighs_stalls)
