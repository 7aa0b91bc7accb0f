"""The benchmark of reading reads each stream whole."""

import pytest

from bilberryspring.load.reading_costs import (
    CHUNK_SIZES,
    EVENT,
    STREAM_COUNT,
    format_reading_costs,
    measure_reading,
)


@pytest.mark.parametrize("chunk_bytes", CHUNK_SIZES)
async def test_streams_of_each_chunk_size_are_read_whole(chunk_bytes):
    cost = await measure_reading(chunk_bytes, 128 * 1024)
    content_bytes = max(chunk_bytes, len(EVENT)) // len(EVENT) * len(EVENT)
    stream_bytes = 128 * 1024 // content_bytes * content_bytes
    # One stream is read before the measurement.
    assert cost.body_bytes == (STREAM_COUNT - 1) * stream_bytes
    assert cost.cpu_s > 0
    assert format_reading_costs([cost]).count("\n") == 2
