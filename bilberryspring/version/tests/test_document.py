"""Checks of configuration documents."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.version.document import (
    MAX_DOCUMENT_BYTES,
    DocumentFault,
    check_document,
    encode_document,
)
from bilberryspring.version.index import digest_key, make_index
from bilberryspring.version.objects import REFERENCES, SECTION_MODELS, Configuration

VALID = {
    "pools": [{"name": "roll-writer", "kind": "engine"}],
    "models": [{"name": "m", "pool": "roll-writer", "max_context_tokens": 9}],
    "adapters": [{"name": "a", "model": "m"}],
    "work_ranks": [
        {"name": "urgent", "order": 0, "minimum_share": 0.5, "target_wait_s": 1.0}
    ],
    "routes": [
        {
            "name": "chat",
            "pool": "roll-writer",
            "model": "m",
            "work_rank": "urgent",
            "idempotent": True,
            "deadline_s": 60,
        }
    ],
    "workspaces": [{"name": "w", "key_digests": [digest_key("k")], "routes": ["chat"]}],
}


def change(*path_and_value):
    """Return a valid document with the value at a path replaced or appended."""
    document = copy.deepcopy(VALID)
    *path, last, value = path_and_value
    target = document
    for part in path:
        target = target[part]
    if last == "append":
        target.append(value)
    else:
        target[last] = value
    return document


def check(document):
    return check_document(json.dumps(document).encode())


RANK = VALID["work_ranks"][0]
SERVICE = {"name": "desk", "kind": "service"}

FAULTS = [
    (change("pools", 0, "kind", "database"), "pools[0].kind"),
    (change("pools", 0, "load_bound", "1.25"), "pools[0].load_bound"),
    (change("pools", 0, "load_bound", 1.0), "pools[0].load_bound"),
    (change("pools", 0, "load_bond", 2), "pools[0].load_bond"),
    (change("pools", 0, "name", "a/b"), "pools[0].name"),
    (change("pools", 0, "placement_policy", "x"), "pools[0].placement_policy"),
    (change("pools", 0, "waiting_policy", "x"), "pools[0].waiting_policy"),
    (change("pools", 0, "order_policy", "x"), "pools[0].order_policy"),
    (change("pools", "append", VALID["pools"][0]), "pools[1].name"),
    (change("pools", "append", "desk"), "pools[1]"),
    (change("pools", {}), "pools"),
    (change("pool", []), "pool"),
    (change("models", 0, "pool", "none"), "models[0].pool"),
    (change("models", 0, "max_context_tokens", True), "models[0].max_context_tokens"),
    (change("adapters", 0, "model", "none"), "adapters[0].model"),
    (change("routes", 0, "pool", "none"), "routes[0].pool"),
    (change("routes", 0, "work_rank", "none"), "routes[0].work_rank"),
    (change("routes", 0, "methods", ["FETCH"]), "routes[0].methods[0]"),
    (change("routes", 0, "deadline_s", 0), "routes[0].deadline_s"),
    (change("workspaces", 0, "routes", ["chat", "x"]), "workspaces[0].routes[1]"),
    (change("workspaces", 0, "key_digests", ["k"]), "workspaces[0].key_digests[0]"),
    (
        change("workspaces", 0, "key_digests", [digest_key("")]),
        "workspaces[0].key_digests[0]",
    ),
    (
        change("workspaces", "append", {"name": "v", "key_digests": [digest_key("k")]}),
        "workspaces[1].key_digests[0]",
    ),
    (change("work_ranks", "append", {**RANK, "name": "b"}), "work_ranks[1].order"),
    (
        change(
            "work_ranks", "append", RANK | {"name": "b", "order": 1, "minimum_share": 1}
        ),
        "work_ranks",
    ),
    (
        change("pools", [SERVICE, {**VALID["pools"][0], "kind": "service"}]),
        "routes[0].model",
    ),
]


@pytest.mark.parametrize(("document", "path"), FAULTS)
def test_a_fault_is_reported_with_its_path(document, path):
    faults = check(document)
    assert path in [fault.path for fault in faults]


def test_all_faults_are_reported_together():
    document = change("pools", 0, "kind", "database")
    document["adapters"][0]["model"] = "none"
    document["work_ranks"][0]["minimum_share"] = 2
    paths = {fault.path for fault in check(document)}
    assert paths == {
        "pools[0].kind",
        "adapters[0].model",
        "work_ranks[0].minimum_share",
    }


def test_a_valid_document_is_indexed_by_key_and_encoded_canonically():
    configuration = check(VALID)
    assert isinstance(configuration, Configuration)
    assert make_index(configuration).workspace_by_key("k").name == "w"
    assert make_index(configuration).workspace_by_key("K") is None
    decoded = check_document(encode_document(configuration))
    assert encode_document(decoded) == encode_document(configuration)


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        (b"", "not JSON"),
        (b"\xff", "not UTF-8"),
        (b"[1]", "expected an object"),
        (b'{"pools": [], "pools": []}', "'pools' is repeated"),
        (b'{"pools": [], "pools": [],}', "'pools' is repeated"),
        (b"[" * 500_000, "nested too deeply"),
        (b"[" * 5_000, "nested too deeply"),
        (b"{" * 100_000, "not JSON"),
        (b" " * (MAX_DOCUMENT_BYTES + 1), "exceed the limit"),
    ],
)
def test_text_that_cannot_be_parsed_has_exactly_one_fault(raw, message):
    faults = check_document(raw)
    assert len(faults) == 1
    assert message in faults[0].message


def test_references_between_sections_have_no_cycle():
    reached = {section: set() for section in SECTION_MODELS}
    for _ in SECTION_MODELS:
        for section, _, target in REFERENCES:
            reached[section] |= {target} | reached[target]
    assert not [section for section in reached if section in reached[section]]


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from([*SECTION_MODELS, "name", "pool", "kind", "weight", "x"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=25,
)


def assert_checked(raw):
    result = check_document(raw)
    if isinstance(result, Configuration):
        assert check_document(encode_document(result)) is not None
    else:
        assert result
        assert all(isinstance(fault, DocumentFault) for fault in result)


@settings(deadline=None, max_examples=150)
@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_any_text_gives_a_configuration_or_faults(raw):
    assert_checked(raw)


@settings(deadline=None, max_examples=150)
@given(JSON_VALUES, st.sampled_from([*SECTION_MODELS, None]), st.integers(0, 3))
def test_any_replaced_value_gives_a_configuration_or_faults(value, section, depth):
    document = copy.deepcopy(VALID)
    if section is None:
        document = value
    elif depth == 0:
        document[section] = value
    elif depth == 1:
        document[section][0] = value
    else:
        document[section][0]["name" if depth == 2 else "pool"] = value
    assert_checked(json.dumps(document).encode())
