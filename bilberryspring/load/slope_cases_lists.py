"""Slope cases of the distribution of the instance list."""

from collections.abc import Callable
from dataclasses import replace

from bilberryspring.capability.instance_list import (
    InstanceList,
)
from bilberryspring.connection.instance_list_messages import (
    InstanceListState,
    decode_list_state,
    encode_list_state,
)
from bilberryspring.identifiers import AvailabilityZone, InstanceId, Region
from bilberryspring.load.slope_cases import NODE_COUNTS, make_instance_list_document
from bilberryspring.load.slopes import register_cpu_case, register_memory_case
from bilberryspring.platform.instances import (
    parse_instance_list,
)
from bilberryspring.process.list_history import ListHistory
from bilberryspring.process.list_partners import (
    ProcessLocation,
    choose_list_partners,
    find_fetch_turn,
)

__all__ = ["build_history", "make_list_state"]


def _parse_instances(count: int) -> InstanceList:
    return parse_instance_list(make_instance_list_document(count))


def _make_changed_list(listed: InstanceList, changes: int) -> InstanceList:
    revision = listed.revision + 1
    changed = [
        replace(node, weight=float(revision)) for node in listed.instances[:changes]
    ]
    return replace(
        listed,
        revision=revision,
        instances=(*changed, *listed.instances[changes:]),
        entity_tag=f'"{revision}"',
    )


def make_list_state(count: int, changes: int) -> InstanceListState:
    """Return the message that a process sends to a partner about changed entries.

    :param count: number of instances in the list.
    :param changes: number of changed entries; zero for a message without changes.
    """
    listed = _parse_instances(count)
    history = ListHistory()
    history.replace(listed)
    history.replace(_make_changed_list(listed, changes))
    selected = history.select_changes(listed.revision)
    return InstanceListState(
        history.listed.revision,
        history.digest,
        history.listed.entity_tag,
        age_ms=1_234,
        base_revision=selected.base if changes else 0,
        changed=selected.changed,
    )


@register_memory_case("instance list and its changes", "node", NODE_COUNTS)
def build_history(count: int) -> ListHistory:
    """Build the history of a list in which every entry has changed once."""
    history = ListHistory()
    listed = _parse_instances(count)
    history.replace(listed)
    history.replace(_make_changed_list(listed, count))
    return history


@register_cpu_case("compare a fetched instance list", "node", NODE_COUNTS)
def prepare_list_replacement(size: int) -> Callable[[], object]:
    """Prepare the replacement of the current list by a fetched one."""
    history = ListHistory()
    listed = _parse_instances(size)
    history.replace(listed)

    def replace_list() -> None:
        history.replace(replace(listed, revision=history.listed.revision + 1))

    return replace_list


@register_cpu_case("apply one change of the instance list", "node", NODE_COUNTS)
def prepare_change_application(size: int) -> Callable[[], object]:
    """Prepare the decoding and application of a change that a partner sent."""
    listed = _parse_instances(size)
    payload = encode_list_state(make_list_state(size, 1))

    def apply() -> None:
        history.listed = listed
        history.digest = digest
        history.apply(decode_list_state(payload))

    history = ListHistory()
    history.replace(listed)
    digest = history.digest
    return apply


@register_cpu_case("choose list partners", "node", NODE_COUNTS)
def prepare_partner_choice(size: int) -> Callable[[], object]:
    """Prepare the choice of partners, which is made for each new list."""
    listed = _parse_instances(size)
    place = _make_location()
    return lambda: choose_list_partners(place, listed)


@register_cpu_case("choose who fetches the instance list", "node", NODE_COUNTS)
def prepare_fetcher_choice(size: int) -> Callable[[], object]:
    """Prepare the choice of the fetching process, which is made in each time slot."""
    listed = _parse_instances(size)
    place = _make_location()
    return lambda: find_fetch_turn(place, listed, 17)


@register_cpu_case("encode and decode a list state of one change", "", (1,))
def prepare_list_state_codec(size: int) -> Callable[[], object]:
    """Prepare the encoding and decoding of a message with one changed entry."""
    state = make_list_state(160, 1)
    return lambda: decode_list_state(encode_list_state(state))


def _make_location() -> ProcessLocation:
    return ProcessLocation(
        InstanceId("agent-00000"), AvailabilityZone("z1"), Region("r1")
    )
