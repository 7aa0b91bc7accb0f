"""Injected faults of the TCP proxy and their effect on one connection."""

import asyncio
from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["ProxyMode", "ProxyFaults", "Direction", "ChunkAction", "ConnectionFaults"]


class ProxyMode(Enum):
    """Treatment of connections and their bytes; see :class:`ProxyFaults`."""

    PASS = "pass"
    CUT = "cut"
    FREEZE = "freeze"
    SILENT = "silent"
    DROP_UPSTREAM = "drop_upstream"
    DROP_DOWNSTREAM = "drop_downstream"
    REFUSE = "refuse"


class ProxyFaults(BaseModel):
    """Faults of existing and new connections.

    :param mode: ``pass`` forwards bytes. ``cut`` resets existing and new connections.
        ``freeze`` holds bytes back until another mode is set. ``silent`` permanently
        stops the bytes of existing connections and forwards those of new ones.
        ``drop_upstream`` and ``drop_downstream`` discard the bytes of one direction,
        permanently on each connection that is open during that mode. ``refuse``
        resets new connections and does not affect existing ones.
    :param delay_s: one-way delay of each byte.
    :param cut_after_bytes_up: reset a connection after this many further bytes
        towards the upstream; zero resets it before the first byte, None never.
    :param cut_after_bytes_down: the same for bytes towards the client.
    :param only_existing: whether only the delay applies to new connections.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    mode: ProxyMode = ProxyMode.PASS
    delay_s: float = Field(default=0.0, ge=0, le=60)
    cut_after_bytes_up: int | None = Field(default=None, ge=0)
    cut_after_bytes_down: int | None = Field(default=None, ge=0)
    only_existing: bool = False

    def for_new_connections(self) -> "ProxyFaults":
        """Return the faults that apply to a connection opened from now on."""
        if self.only_existing or self.mode is ProxyMode.SILENT:
            return ProxyFaults(delay_s=self.delay_s)
        return self


class Direction(Enum):
    """Direction of bytes through the proxy: ``UP`` leads to the upstream."""

    UP = "up"
    DOWN = "down"


class ChunkAction(Enum):
    """What happens to the rest of a chunk, and to the connection.

    ``PASS`` means that the whole chunk is forwarded, ``DROP`` that it is discarded, and
    ``CUT`` that the connection is reset after the allowed part.
    """

    PASS = "pass"
    DROP = "drop"
    CUT = "cut"


DROPPED_DIRECTIONS = {
    ProxyMode.DROP_UPSTREAM: Direction.UP,
    ProxyMode.DROP_DOWNSTREAM: Direction.DOWN,
}


class ConnectionFaults:
    """Faults in force on one connection.

    :param faults: faults at the start of the connection.
    :ivar delay_s: one-way delay of each byte.
    :ivar forwarding_allowed: set while bytes may be forwarded.
    :ivar is_silent: whether the connection is permanently silent.
    """

    def __init__(self, faults: ProxyFaults):
        self.delay_s = 0.0
        self.forwarding_allowed = asyncio.Event()
        self.is_silent = False
        self._dropped_directions: set[Direction] = set()
        self._bytes_until_cut: dict[Direction, int | None] = {}
        self.apply(faults)

    def apply(self, faults: ProxyFaults) -> None:
        """Replace the faults, except that silence and dropping are permanent.

        :param faults: faults from now on.
        """
        self.delay_s = faults.delay_s
        self._bytes_until_cut = {
            Direction.UP: faults.cut_after_bytes_up,
            Direction.DOWN: faults.cut_after_bytes_down,
        }
        self.is_silent = self.is_silent or faults.mode is ProxyMode.SILENT
        if faults.mode in DROPPED_DIRECTIONS:
            self._dropped_directions.add(DROPPED_DIRECTIONS[faults.mode])
        if self.is_silent or faults.mode is ProxyMode.FREEZE:
            self.forwarding_allowed.clear()
        else:
            self.forwarding_allowed.set()

    def is_cut_immediately(self) -> bool:
        """Return whether the connection is reset before its next byte."""
        return 0 in self._bytes_until_cut.values()

    def process_chunk(
        self, direction: Direction, chunk_bytes: int
    ) -> tuple[int, ChunkAction]:
        """Apply the faults to a chunk of bytes.

        :param direction: direction of the chunk.
        :param chunk_bytes: length of the chunk in bytes.
        :returns: number of bytes to forward, and the action for the rest.

        >>> faults = ConnectionFaults(ProxyFaults(cut_after_bytes_up=5))
        >>> faults.process_chunk(Direction.UP, 3)
        (3, <ChunkAction.PASS: 'pass'>)
        >>> faults.process_chunk(Direction.UP, 3)
        (2, <ChunkAction.CUT: 'cut'>)
        """
        if direction in self._dropped_directions:
            return 0, ChunkAction.DROP
        bytes_until_cut = self._bytes_until_cut[direction]
        if bytes_until_cut is None:
            return chunk_bytes, ChunkAction.PASS
        forwarded_bytes = min(chunk_bytes, bytes_until_cut)
        self._bytes_until_cut[direction] = bytes_until_cut - forwarded_bytes
        return (
            forwarded_bytes,
            ChunkAction.PASS if bytes_until_cut > forwarded_bytes else ChunkAction.CUT,
        )
