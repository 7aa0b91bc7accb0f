"""Bytes of a message that arrive in pieces of any size."""

__all__ = ["CollectedBytes"]

# Parts of one size leave no gaps in the memory when they are released. A single buffer
# that grows for each message leaves many.
PART_BYTES = 16 * 1024


class CollectedBytes:
    """Bytes in parts of equal size, whatever the pieces in which they arrive.

    >>> body = CollectedBytes()
    >>> body.append(b"a"); body.append(b"bc")
    >>> len(body), body.join()
    (3, b'abc')
    """

    __slots__ = ("_parts", "_tail")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()

    def __len__(self) -> int:
        return len(self._parts) * PART_BYTES + len(self._tail)

    def append(self, data: bytes) -> None:
        """Add the next bytes.

        :param data: bytes that follow those added before.
        """
        self._tail += data
        if len(self._tail) >= PART_BYTES:
            whole_bytes = len(self._tail) // PART_BYTES * PART_BYTES
            for start in range(0, whole_bytes, PART_BYTES):
                self._parts.append(bytes(self._tail[start : start + PART_BYTES]))
            del self._tail[:whole_bytes]

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join([*self._parts, self._tail])

    def clear(self) -> None:
        """Remove all bytes."""
        self._parts.clear()
        self._tail = bytearray()
