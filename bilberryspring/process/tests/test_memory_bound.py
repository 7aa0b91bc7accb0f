"""Memory of messages is bounded over all of them, and the worst are given up first."""

import pytest

from bilberryspring.process import memory_bound
from bilberryspring.process.memory_bound import MessageKind, make_memory_bound

LIMIT_BYTES = 1_000_000


@pytest.fixture
def hold():
    """Return a function that makes a holder, and the senders that were given up."""
    bound = make_memory_bound(LIMIT_BYTES)
    given_up = []

    def make(sender, kind, size_bytes=0):
        holder = bound.make_holder(sender, lambda: given_up.append(holder))
        holder.kind = kind
        holder.set_size(size_bytes)
        return holder

    make.bound, make.given_up = bound, given_up
    return make


def test_messages_within_the_bound_are_kept(hold):
    for _ in range(10):
        hold("s", MessageKind.FAILURE, LIMIT_BYTES // 10)
    assert not hold.given_up
    assert hold.bound.held_bytes == LIMIT_BYTES


def test_memory_stays_within_the_bound(hold):
    holders = [hold(f"s{n}", MessageKind.WITHOUT_LENGTH) for n in range(7)]
    for size_bytes in range(0, 2 * LIMIT_BYTES, 5_000):
        holders[size_bytes % 7].set_size(size_bytes)
        assert hold.bound.held_bytes <= LIMIT_BYTES
        assert hold.bound.held_bytes == sum(each.size_bytes for each in holders)
    assert hold.bound.given_up_count == len(hold.given_up) > 0


@pytest.mark.parametrize(
    "kind", [MessageKind.FAILURE, MessageKind.WITHOUT_LENGTH, MessageKind.ANSWER]
)
def test_large_answer_of_a_sound_server_is_kept(hold, kind):
    answer = hold("sound", MessageKind.ANSWER, 200_000)
    bad = [hold("bad", kind) for _ in range(20)]
    for size_bytes in range(0, 100_000, 1_000):
        for holder in bad:
            holder.set_size(size_bytes)
    answer.set_size(300_000)
    assert hold.given_up
    assert all(holder.sender == "bad" for holder in hold.given_up)


def test_small_message_is_given_up_last(hold):
    small = hold("bad", MessageKind.FAILURE, 500)
    large = hold("bad", MessageKind.WITHOUT_LENGTH, LIMIT_BYTES - 600)
    small.set_size(1_000)
    assert hold.given_up == [large]


def test_accepted_message_is_never_given_up(hold):
    accepted = hold("", MessageKind.ACCEPTED, LIMIT_BYTES)
    upload = hold("", MessageKind.WITHOUT_LENGTH, 10_000)
    assert hold.given_up == [upload]
    accepted.set_size(LIMIT_BYTES + 1)
    assert hold.given_up == [upload]
    accepted.release()
    assert hold.bound.held_bytes == 0


def test_response_that_is_being_read_outlasts_uploads(hold):
    unread = hold("reader", MessageKind.UNREAD, LIMIT_BYTES // 2)
    uploads = [hold(f"u{n}", MessageKind.WITHOUT_LENGTH, 50_000) for n in range(20)]
    assert unread not in hold.given_up
    assert set(hold.given_up) <= set(uploads) and hold.given_up


def test_message_without_progress_is_given_up_first(monkeypatch):
    now_s = 0.0
    monkeypatch.setattr(memory_bound.time, "monotonic", lambda: now_s)
    bound = make_memory_bound(LIMIT_BYTES, weighs_stalls=True)
    given_up = []
    stalled = bound.make_holder("stalled", lambda: given_up.append("stalled"))
    growing = bound.make_holder("growing", lambda: given_up.append("growing"))
    stalled.set_size(LIMIT_BYTES // 5)
    now_s = 10.0
    growing.set_size(LIMIT_BYTES)
    assert given_up == ["stalled"]
