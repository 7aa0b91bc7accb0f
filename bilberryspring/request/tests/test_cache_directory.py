"""Directory of the engines that hold the cached prefixes of chats."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.connection.cache_directory_messages import (
    CacheLocation,
    decode_location,
)
from bilberryspring.request.cache_directory import (
    CacheDirectory,
    digest_prefixes,
    read_messages,
)
from bilberryspring.request.errors import Failure

LOCATION = CacheLocation("chat", "agent-1", "d", 3, "m", 900, "engine-1")


def test_longest_prefix_of_an_engine_version_is_kept():
    directory = CacheDirectory()
    directory.put(LOCATION)
    directory.put(replace(LOCATION, holder="agent-2", message_count=1))
    assert directory.find("chat") == LOCATION
    later = replace(LOCATION, holder="agent-3")
    directory.put(later)
    assert directory.find("chat") == later
    newer = replace(LOCATION, message_count=1, engine_version="engine-2")
    directory.put(newer)
    assert directory.find("chat") == newer
    directory.remove(later)
    assert directory.find("chat") == newer
    directory.remove_other_versions("engine-1")
    assert directory.find("chat") is None


def test_full_directory_evicts_the_least_recently_used_chat():
    directory = CacheDirectory(max_entries=3)
    for number in range(3):
        directory.put(replace(LOCATION, chat_key=f"chat-{number}"))
    directory.find("chat-0")
    directory.put(replace(LOCATION, chat_key="chat-3"))
    assert len(directory) == 3
    assert directory.find("chat-0") is not None
    assert directory.find("chat-1") is None


def test_body_without_messages_is_read_as_an_empty_conversation():
    assert read_messages(b"{") == read_messages(b"[]") == read_messages(b"{}") == []
    messages = read_messages(b'{"messages": [{"role": "user", "content": "a"}]}')
    empty, whole = digest_prefixes(messages)
    assert empty != whole


TEXTS = st.text(alphabet="a1 é", max_size=4)
MESSAGES = st.lists(
    st.fixed_dictionaries({"role": TEXTS, "content": TEXTS}, optional={"name": TEXTS}),
    max_size=4,
)


@given(MESSAGES, MESSAGES)
@settings(deadline=None, derandomize=True)
def test_prefixes_have_equal_digests_only_if_they_are_equal(one, two):
    for count, digest in enumerate(digest_prefixes(one)):
        for other, other_digest in enumerate(digest_prefixes(two)):
            assert (digest == other_digest) == (one[:count] == two[:other])


@given(st.binary(max_size=200))
@settings(deadline=None, derandomize=True)
def test_arbitrary_bytes_decode_to_a_location_or_a_failure(payload):
    assert isinstance(decode_location(payload), CacheLocation | Failure)
