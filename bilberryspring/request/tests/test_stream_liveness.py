"""Detection of a stream whose connection to the engine is lost."""

import asyncio

import pytest

from bilberryspring.request import stream_liveness
from bilberryspring.request.stream_liveness import StreamState, wait_until_stream_lost

CASES = [
    ([StreamState.ABSENT], False, True),
    ([StreamState.WAITING], False, False),
    ([StreamState.RUNNING], False, True),
    ([StreamState.ABSENT], True, False),
]


@pytest.mark.parametrize("states, is_paused, ends", CASES)
async def test_only_a_lost_stream_that_is_not_paused_is_abandoned(
    monkeypatch, states, is_paused, ends
):
    queried = []

    async def query(address, request_id):
        queried.append(request_id)
        return states[0]

    monkeypatch.setattr(stream_liveness, "ask_stream", query)
    monkeypatch.setattr(stream_liveness, "CHECK_INTERVAL_S", 0.1)
    monkeypatch.setattr(stream_liveness, "MAX_DECODE_SILENCE_S", 0.05)
    watch = wait_until_stream_lost("127.0.0.1:1", "r1", 0, lambda: 0, lambda: is_paused)
    task = asyncio.create_task(watch)
    done, _ = await asyncio.wait([task], timeout=20 if ends else 0.5)
    task.cancel()
    assert bool(done) is ends
    assert bool(queried) is not is_paused
