"""Events of an engine's stream, whatever the pieces in which it arrives."""

import aiohttp
import pytest

from bilberryspring.request.engine_calls import MAX_EVENT_BYTES, read_events

STREAM = (
    b'data: {"a":1}\n\n'
    b": a comment\r\n\r\n"
    b"event: x\r\ndata: one\r\ndata: two\r\n\r\n"
    b"id: 7\n\n"
    b"data: [DONE]\n\n"
    b"data: cut o"
)
EVENTS = [b'{"a":1}', b"one\ntwo", b"[DONE]"]


class Content:
    """Response body that arrives in the given pieces."""

    def __init__(self, *pieces):
        self.pieces = pieces

    async def iter_any(self):
        for piece in self.pieces:
            yield piece


async def collect(*pieces):
    return [event async for event in read_events(Content(*pieces))]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 16, len(STREAM)])
async def test_events_do_not_depend_on_the_size_of_the_pieces(size):
    pieces = [STREAM[i : i + size] for i in range(0, len(STREAM), size)]
    assert await collect(*pieces) == EVENTS


@pytest.mark.parametrize("at", range(1, len(STREAM)))
async def test_events_do_not_depend_on_the_position_of_a_split(at):
    assert await collect(STREAM[:at], STREAM[at:]) == EVENTS


async def test_event_larger_than_the_limit_raises_an_error():
    endless = b"data: " + b"x" * MAX_EVENT_BYTES
    with pytest.raises(aiohttp.ClientPayloadError):
        await collect(endless)
