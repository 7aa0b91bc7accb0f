"""Encoding of instance list states, and rejection of invalid ones."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceState,
    Role,
)
from bilberryspring.connection.instance_list_messages import (
    MAX_CHANGES,
    MAX_MESSAGE_BYTES,
    InstanceListState,
    decode_list_state,
    encode_list_state,
)
from bilberryspring.request.errors import ErrorKind, Failure

TEXTS = st.text(
    st.characters(exclude_categories=["Cs"], exclude_characters="\0"), max_size=40
)
NAMES = TEXTS.filter(bool)
NUMBERS = st.integers(0, 2**64 - 1)
INSTANCES = st.builds(
    Instance,
    NAMES,
    st.sampled_from(Role),
    TEXTS,
    TEXTS,
    TEXTS,
    TEXTS,
    st.sampled_from(InstanceState),
    st.floats(1e-9, 1e9),
)
STATES = st.builds(
    InstanceListState,
    NUMBERS,
    NUMBERS,
    TEXTS,
    st.integers(0, 2**32 - 1),
    NUMBERS,
    st.lists(INSTANCES, max_size=6).map(tuple),
    st.lists(NAMES, max_size=6).map(tuple),
)
INSTANCE = Instance("i", Role.AGENT, "p", "z", "r", "127.0.0.1:7000")


@given(STATES)
def test_states_round_trip(state):
    assert decode_list_state(encode_list_state(state)) == state


@given(STATES, st.data())
def test_corrupted_state_decodes_to_a_valid_state_or_fails(state, data):
    payload = bytearray(encode_list_state(state))
    for _ in range(data.draw(st.integers(1, 4))):
        index = data.draw(st.integers(0, len(payload) - 1))
        payload[index] = data.draw(st.integers(0, 255))
    end = data.draw(st.integers(0, len(payload)))
    _assert_valid_or_failure(decode_list_state(bytes(payload[:end])))


@given(st.binary(max_size=400))
def test_arbitrary_bytes_decode_to_a_valid_state_or_fail(payload):
    _assert_valid_or_failure(decode_list_state(payload))


def _assert_valid_or_failure(decoded):
    if isinstance(decoded, Failure):
        assert decoded.kind is ErrorKind.MALFORMED_REQUEST
        return
    assert isinstance(decoded, InstanceListState)
    for instance in decoded.changed:
        assert instance.instance_id and 0 < instance.weight < float("inf")


@pytest.mark.parametrize(
    "state",
    [
        InstanceListState(1, 1, changed=(replace(INSTANCE, weight=0.0),)),
        InstanceListState(1, 1, changed=(replace(INSTANCE, weight=float("nan")),)),
        InstanceListState(1, 1, changed=(replace(INSTANCE, instance_id=""),)),
        InstanceListState(1, 1, changed=(INSTANCE,) * (MAX_CHANGES + 1)),
    ],
)
def test_decoding_an_invalid_state_fails(state):
    assert isinstance(decode_list_state(encode_list_state(state)), Failure)


def test_decoding_a_too_large_message_fails():
    assert isinstance(decode_list_state(bytes(MAX_MESSAGE_BYTES + 1)), Failure)


def test_maximum_changes_with_long_names_fit_into_a_message():
    instance = replace(INSTANCE, instance_id="i" * 64, availability_zone="z" * 30)
    state = InstanceListState(2, 2, base_revision=1, changed=(instance,) * MAX_CHANGES)
    assert decode_list_state(encode_list_state(state)) == state
