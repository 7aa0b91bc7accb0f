"""Responses that an agent buffers for attachments.

Guards against chunks that are lost or sent twice when a link is lost and another one
attaches.
"""

from types import SimpleNamespace

import pytest

from bilberryspring.connection.messages import Accepted, Chunk, Final, Refused
from bilberryspring.identifiers import (
    ConfigVersion,
    EngineVersion,
    RequestId,
    WorkspaceName,
)
from bilberryspring.process.answer_store import make_answer_store
from bilberryspring.process.memory_bound import make_memory_bound
from bilberryspring.request.buffered_response import (
    ChunkDigest,
    ResponseTooLargeError,
    make_buffered_response,
)
from bilberryspring.request.errors import ErrorKind, Outcome, make_failure


class RecordingLink(SimpleNamespace):
    def __init__(self):
        super().__init__(is_lost=False, attached_requests=set(), sent=[])

    def send(self, message):
        self.sent.append(message)

    def sequences(self):
        return [frame.sequence for frame in self.sent if isinstance(frame, Chunk)]


def start_answer(window_chunks=4):
    answer = make_buffered_response(RequestId("r"), WorkspaceName("w"), window_chunks)
    answer.accept(EngineVersion("v1"), ConfigVersion(3))
    return answer


def test_chunks_are_sent_up_to_the_credit_limit():
    answer, link = start_answer(), RecordingLink()
    answer.attach(link, 0)
    for number in range(10):
        answer.append(b"%d" % number)
    answer.finish(200, "text/plain")
    assert link.sequences() == [0, 1, 2, 3]
    answer.add_credit(link, 8)
    assert link.sequences() == list(range(8))
    assert not answer.delivered
    answer.add_credit(link, 10)
    final = link.sent[-1]
    assert isinstance(final, Final) and final.chunk_count == 10
    assert answer.delivered


@pytest.mark.parametrize("start", [0, 1, 5, 6])
def test_new_attachment_receives_remaining_chunks_and_their_digest(start):
    answer = start_answer(window_chunks=100)
    first, second = RecordingLink(), RecordingLink()
    answer.attach(first, 0)
    for number in range(3):
        answer.append(b"x%d" % number)
    answer.attach(second, start)
    for number in range(3, 6):
        answer.append(b"x%d" % number)
    answer.finish(200, "text/plain")
    assert first.sequences() == [0, 1, 2]
    assert second.sequences() == list(range(start, 6))
    assert isinstance(second.sent[0], Accepted)
    digest = ChunkDigest()
    for sequence in range(start, 6):
        digest.add(sequence, b"x%d" % sequence)
    assert second.sent[-1].digest == digest.value
    assert not first.attached_requests and not second.attached_requests


def test_accepted_message_is_sent_with_the_first_chunk_or_the_final_frame():
    streamed, empty = start_answer(), start_answer()
    links = [RecordingLink(), RecordingLink()]
    for answer, link in zip((streamed, empty), links, strict=True):
        answer.attach(link, 0)
        assert link.sent == []
    streamed.append(b"a")
    empty.finish(204, "")
    assert [type(frame) for frame in links[0].sent] == [Accepted, Chunk]
    assert [type(frame) for frame in links[1].sent] == [Accepted, Final]


def test_chunk_after_a_lost_link_is_sent_over_the_next_attachment():
    answer, lost, replacement = start_answer(), RecordingLink(), RecordingLink()
    answer.attach(lost, 0)
    lost.is_lost = True
    answer.append(b"a")
    assert answer.detached_s is not None
    answer.attach(replacement, 0)
    answer.finish(200, "text/plain")
    assert replacement.sequences() == [0]


def test_refused_message_contains_the_outcome_of_the_failure():
    answer, link = start_answer(), RecordingLink()
    answer.attach(link, 0)
    answer.refuse(make_failure(ErrorKind.BACKEND_CRASHED), ConfigVersion(1))
    refused = link.sent[-1]
    assert isinstance(refused, Refused) and refused.outcome == "unknown"
    assert answer.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    ("kind", "attempt", "expected"),
    [
        (ErrorKind.LOAD_BOUND, 2, True),
        (ErrorKind.LOAD_BOUND, 1, False),
        (ErrorKind.BACKEND_CRASHED, 2, False),
    ],
)
def test_only_a_later_attempt_replaces_a_response_that_did_not_run(
    kind, attempt, expected
):
    answer = make_buffered_response(RequestId("r"), WorkspaceName("w"), 4, attempt=1)
    assert not answer.can_be_replaced(2)
    answer.refuse(make_failure(kind), ConfigVersion(1))
    assert answer.can_be_replaced(attempt) is expected


def test_store_keeps_the_outcomes_of_removed_responses():
    store = make_answer_store(budget_bytes=10, retention_s=60.0)
    for name in ("a", "b", "c"):
        answer = make_buffered_response(RequestId(name), WorkspaceName("w"), 4)
        answer.accept(EngineVersion("v"), ConfigVersion(1))
        answer.append(b"12345678")
        answer.finish(200, "text/plain")
        store.add(answer)
    store.evict_expired(store.find(RequestId("c")).ended_s)
    assert store.find(RequestId("a")) is None
    assert store.find(RequestId("c")) is not None
    assert store.retained_bytes <= 10
    assert store.find_outcome(RequestId("a")) is Outcome.RAN
    assert store.find_outcome(RequestId("z")) is None


def test_memory_of_all_unfinished_responses_is_bounded():
    memory = make_memory_bound(100_000)
    answers = [
        make_buffered_response(RequestId(name), WorkspaceName("w"), 4, memory=memory)
        for name in ("endless", "sound", "ended")
    ]
    endless, sound, ended = answers
    ended.append(b"x" * 20_000)
    ended.finish(200, "text/plain")
    sound.append(b"x" * 20_000)
    with pytest.raises(ResponseTooLargeError):
        for _ in range(10_000):
            endless.append(b"x")
    assert endless.is_given_up and not endless.chunks
    assert sound.size_bytes == ended.size_bytes == 20_000
    assert memory.held_bytes < 30_000
    link = RecordingLink()
    endless.attach(link, 0)
    endless.refuse(make_failure(ErrorKind.BACKEND_FAILED), ConfigVersion(3))
    assert [type(frame) for frame in link.sent] == [Refused]
    sound.finish(200, "text/plain")
    assert memory.held_bytes == 0


def test_response_that_another_one_pushed_out_does_not_go_on():
    memory = make_memory_bound(100_000)
    first, second = (
        make_buffered_response(RequestId(name), WorkspaceName("w"), 4, memory=memory)
        for name in ("first", "second")
    )
    first.append(b"x" * 60_000)
    second.append(b"x" * 50_000)
    assert first.is_given_up
    with pytest.raises(ResponseTooLargeError):
        first.append(b"x")
