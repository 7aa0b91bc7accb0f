"""Configurations that nobody can read, after a sound one.

The sound one holds, and one line names the odd one.
"""

import json

import pytest

from bilberryspring.capability.routing import find_route
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform import configuration_watcher
from bilberryspring.platform.configuration_watcher import ConfigurationWatcher
from bilberryspring.platform.document_decoders import (
    decode_routing_table,
)
from bilberryspring.platform.metadata_messages import (
    StoreItem,
    StoreListing,
)
from bilberryspring.platform.tests.platform_standin import CONFIGURATION

POSITION = StorePosition(StoreEpoch(1), 9)


def replace_in_configuration(old, new):
    content = json.dumps(CONFIGURATION).encode()
    assert old in content
    return content.replace(old, new, 1)


ODD_CONFIGURATIONS = {
    "nested": b"[" * 100_000,
    "infinite_version": replace_in_configuration(b'"version": 3', b'"version": 1e999'),
    "true_version": replace_in_configuration(b'"version": 3', b'"version": true'),
    "long_version": replace_in_configuration(
        b'"version": 3', b'"version": ' + b"9" * 5_000
    ),
    "nan_timeout": replace_in_configuration(b'"timeoutMs": 1500', b'"timeoutMs": NaN'),
    "negative_timeout": replace_in_configuration(
        b'"timeoutMs": 1500', b'"timeoutMs": -1'
    ),
    "infinite_weight": replace_in_configuration(b'"weight": 1', b'"weight": 1e999'),
    "prefix_number": replace_in_configuration(b'"prefix": "/orders/"', b'"prefix": 3'),
    "text_for_keys": replace_in_configuration(
        b'"apiKeys": [', b'"apiKeys": "ab", "other": ['
    ),
    "text_for_public": replace_in_configuration(
        b'"name": "orders"', b'"name": "orders", "public": "false"'
    ),
    "repeated_member": replace_in_configuration(
        b'{"version"', b'{"a":1,"a":2,"version"'
    ),
    "lone_surrogate": replace_in_configuration(b'"orders"', rb'"\ud800"'),
}


@pytest.mark.parametrize("odd", ODD_CONFIGURATIONS.values(), ids=ODD_CONFIGURATIONS)
def test_odd_configuration_is_refused_once_and_the_sound_one_holds(monkeypatch, odd):
    lines, tables = [], []
    monkeypatch.setattr(
        configuration_watcher, "log_event", lambda event, **fields: lines.append(event)
    )
    watcher = ConfigurationWatcher(None, tables.append)
    sound = json.dumps(CONFIGURATION).encode()
    for value in (sound, odd, odd):
        watcher._apply_listing(
            StoreListing((StoreItem("op/config", value, POSITION),), POSITION)
        )
    assert len(tables) == 1 and watcher.entry.value == sound
    assert lines == ["update_refused"]


def test_version_with_a_fraction_of_zero_is_read():
    content = json.dumps({**CONFIGURATION, "version": 3.0}).encode()
    assert decode_routing_table(content, POSITION).version == 3


def test_numbers_that_are_clamped_do_not_make_a_configuration_odd():
    for old, new in (
        (b'"priority": 2', b'"priority": -1'),
        (b'"attempts": 1', b'"attempts": -1'),
    ):
        table = decode_routing_table(replace_in_configuration(old, new), POSITION)
        route = find_route(table, "a.example", "/orders/x")
        assert route.rank_order in (0, 2) and route.max_servers == 1
