"""What following the instance list costs a node, from measured slopes."""

from collections.abc import Mapping

from bilberryspring.load.slopes import Slope

__all__ = [
    "compute_list_calls_per_s",
    "derive_list_bytes_per_s",
    "derive_list_cpu_ratio",
]

SECONDS_PER_US = 1e-6
# Lengths that the codecs give; a test compares them.
CALL_BYTES = 84 + 76
INSTANCE_LIST_BYTES = 218_920
LIST_STATE_BYTES = 31
LIST_CHANGE_BYTES = 66
LIST_PARTNERS = 2
# As `list_rollout` measures it: told confirmations and comparisons together.
LIST_COMPARE_INTERVAL_S = 1.7
LIST_FETCH_SLOT_S = 1.0
# After a change its fetchers ask for the whole list, later ones one time in eight.
LIST_VERIFICATION_PERIOD_S = 30.0
LIST_LATER_FETCH_SHARE = 1 / 8


def derive_list_bytes_per_s(nodes: int, zones: int, changes_per_s: float) -> float:
    """Return the bytes a second of a node, in both directions.

    :param nodes: instances in the list.
    :param zones: availability zones.
    :param changes_per_s: changed entries a second.
    """
    calls_per_s = 2 * compute_list_calls_per_s(changes_per_s)
    calls_bytes = calls_per_s * (CALL_BYTES + 2 * LIST_STATE_BYTES)
    changes_bytes = 2 * LIST_PARTNERS * changes_per_s * LIST_CHANGE_BYTES
    whole_lists_per_s = _compute_whole_lists_per_s(nodes, zones, changes_per_s)
    return calls_bytes + changes_bytes + whole_lists_per_s * INSTANCE_LIST_BYTES


def derive_list_cpu_ratio(
    slopes: Mapping[str, Slope], nodes: int, zones: int, changes_per_s: float
) -> float:
    """Return the processor time a second of a node.

    :param slopes: measured slopes by name.
    :param nodes: instances in the list.
    :param zones: availability zones.
    :param changes_per_s: changed entries a second.
    """
    fetch_us = slopes["parse the instance list"].compute_cost(nodes)
    fetch_us += slopes["compare a fetched instance list"].compute_cost(nodes)
    change_us = slopes["apply one change of the instance list"].compute_cost(nodes)
    change_us += slopes["adopt a parsed instance list"].compute_cost(nodes)
    change_us += slopes["choose list partners"].compute_cost(nodes)
    slot_us = slopes["choose who fetches the instance list"].compute_cost(nodes)
    call_us = slopes["encode and decode a list state of one change"].fixed
    call_us += slopes["encode and decode a peer call of 400 bytes"].fixed
    spent_us = _compute_whole_lists_per_s(nodes, zones, changes_per_s) * fetch_us
    spent_us += min(changes_per_s, 1 / LIST_FETCH_SLOT_S) * change_us
    spent_us += slot_us / LIST_FETCH_SLOT_S
    spent_us += 2 * compute_list_calls_per_s(changes_per_s) * call_us
    return spent_us * SECONDS_PER_US


def _compute_whole_lists_per_s(nodes: int, zones: int, changes_per_s: float) -> float:
    """Return how many whole lists a second a node fetches."""
    new_share = min(changes_per_s * LIST_VERIFICATION_PERIOD_S, 1.0)
    whole_share = new_share + (1 - new_share) * LIST_LATER_FETCH_SHARE
    return whole_share * zones / LIST_FETCH_SLOT_S / nodes


def compute_list_calls_per_s(changes_per_s: float) -> float:
    """Return how often a second a node tells a partner, and is told by one.

    :param changes_per_s: changed entries a second.
    """
    told_per_s = min(changes_per_s, 1 / LIST_FETCH_SLOT_S)
    return LIST_PARTNERS * max(told_per_s, 1 / LIST_COMPARE_INTERVAL_S)
