"""Items of the store's responses that cannot be decoded, beside sound ones."""

import base64

import pytest

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.platform.metadata_messages import (
    decode_changes,
    decode_page,
    decode_response,
)
from bilberryspring.request.errors import Failure

POSITION = StorePosition(StoreEpoch(1), 9)


ODD_ITEMS = [
    {"key": "servers/b"},
    {"key": "servers/b", "revision": 1e999, "value": "aaaa"},
    {"key": "servers/b", "revision": 10**400, "value": "aaaa"},
    {"key": "servers/b", "revision": 1, "value": "not base64"},
    {"key": "servers/b", "revision": 1, "value": 7},
    {"key": "servers/\ud800", "revision": 1, "value": "aaaa"},
]


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_odd_item_of_the_store_does_not_fail_its_list_or_watch(odd):
    value = base64.b64encode(b"v").decode()
    sound = {"key": "servers/a", "revision": 4, "value": value}
    body = {"items": [odd, sound], "events": [odd, sound], "currentRev": 5}
    items, _, _ = decode_page(body, StoreEpoch(1))
    changes = decode_changes(body, POSITION)
    for decoded in (items, changes.items):
        assert decoded[-1].value == b"v"
        # An item with a readable key is kept, so that its server is not sent work.
        odd_values = [item.value for item in decoded[:-1]]
        assert odd_values == ([] if "\ud800" in odd["key"] else [b""])


@pytest.mark.parametrize("odd", ["x", None, {}, {"key": 3, "revision": 1}])
def test_list_with_an_item_without_a_key_is_malformed(odd):
    with pytest.raises(MALFORMED_ERRORS):
        decode_page({"items": [odd], "currentRev": 5}, StoreEpoch(1))


@pytest.mark.parametrize("content", [b"[" * 100_000, b"\xff", b"[]", b"9" * 5_000])
def test_odd_response_of_the_store_is_a_failure(content):
    assert isinstance(decode_response(200, content, StoreEpoch(1)), Failure)
