"""Parts of a stream of bytes that end with a separator, such as lines or events."""

import asyncio
from collections.abc import AsyncIterator

__all__ = ["PartTooLongError", "SeparatedParts", "make_separated_parts", "read_parts"]

# Parts that are handled before other tasks run.
MAX_PARTS_PER_TURN = 64


class PartTooLongError(ValueError):
    """A part exceeds its maximum size."""


class SeparatedParts:
    """Splitter of a stream that arrives in pieces of any size.

    :param separator: bytes that end a part.
    :param max_part_bytes: size of the largest part.
    """

    def __init__(self, separator: bytes, max_part_bytes: int):
        self._separator = separator
        self._max_part_bytes = max_part_bytes
        self._partial = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add the next bytes of the stream.

        :param data: bytes that follow those added before.
        :returns: the parts that are complete now, without their separators.
        :raises PartTooLongError: if the incomplete part is too large.

        >>> parts = make_separated_parts(b"\\n", 10)
        >>> parts.feed(b"one\\ntwo\\nth")
        [b'one', b'two']
        """
        # Only a separator that ends in these bytes is new.
        searched_bytes = max(len(self._partial) - len(self._separator) + 1, 0)
        self._partial += data
        complete: list[bytes] = []
        if self._partial.find(self._separator, searched_bytes) >= 0:
            *complete, rest = bytes(self._partial).split(self._separator)
            self._partial = bytearray(rest)
        if len(self._partial) > self._max_part_bytes:
            raise PartTooLongError(f"a part of over {self._max_part_bytes} bytes")
        return complete


def make_separated_parts(separator: bytes, max_part_bytes: int) -> SeparatedParts:
    """Return a splitter for a new stream.

    :param separator: bytes that end a part.
    :param max_part_bytes: size of the largest part.
    """
    return SeparatedParts(separator, max_part_bytes)


async def read_parts(
    pieces: AsyncIterator[bytes], separator: bytes, max_part_bytes: int
) -> AsyncIterator[bytes]:
    """Yield the parts of a stream, and let other tasks run in between.

    :param pieces: the stream in pieces of any size.
    :param separator: bytes that end a part.
    :param max_part_bytes: size of the largest part.
    :raises PartTooLongError: if a part is too large.
    """
    parts = make_separated_parts(separator, max_part_bytes)
    async for piece in pieces:
        for number, part in enumerate(parts.feed(piece), start=1):
            yield part
            if number % MAX_PARTS_PER_TURN == 0:
                await asyncio.sleep(0)
