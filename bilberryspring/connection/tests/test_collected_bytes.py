"""Bytes that arrive in pieces of any size are collected whole."""

import pytest

from bilberryspring.connection.collected_bytes import PART_BYTES, CollectedBytes


@pytest.mark.parametrize("size", [1, 7, PART_BYTES - 1, PART_BYTES, 3 * PART_BYTES + 5])
def test_bytes_do_not_depend_on_the_pieces(size):
    data = bytes(range(251)) * (10 * PART_BYTES // 251)
    collected = CollectedBytes()
    for start in range(0, len(data), size):
        collected.append(data[start : start + size])
        assert len(collected) == min(start + size, len(data))
    assert collected.join() == data
    collected.clear()
    assert len(collected) == 0 and collected.join() == b""
