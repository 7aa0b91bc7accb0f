"""Events of an engine's stream, whatever the pieces in which it arrives."""

import asyncio
import time

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


@pytest.mark.parametrize("piece", [b"x" * 16, b"a\n" * 8, b"a\r\n\r" * 3])
async def test_work_is_linear_in_the_length_of_an_event(piece):
    started_s = time.thread_time()
    await collect(b"data: ", *[piece] * 16_384, b"\n\n")
    assert time.thread_time() - started_s < 0.5


async def test_other_tasks_run_between_events_that_arrive_at_once():
    ticks = 0

    async def tick():
        nonlocal ticks
        while True:
            ticks += 1
            await asyncio.sleep(0)

    ticking = asyncio.create_task(tick())
    assert len(await collect(b"data: a\n\n" * 10_000)) == 10_000
    ticking.cancel()
    assert ticks >= 100
