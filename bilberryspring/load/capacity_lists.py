"""Capacity model of the instance list: its traffic and CPU time at a node."""

from collections.abc import Mapping

from bilberryspring.load.slopes import Slope

__all__ = [
    "compute_list_calls_per_s",
    "derive_list_bytes_per_s",
    "derive_list_cpu_ratio",
]

SECONDS_PER_US = 1e-6
# Encoded message sizes; a test compares them with those of the codecs.
CALL_BYTES = 84 + 76
INSTANCE_LIST_BYTES = 218_920
LIST_STATE_BYTES = 31
LIST_CHANGE_BYTES = 66
LIST_PARTNERS = 2
# Interval of confirmations and comparisons, counted together. `list_rollout` measures
# their traffic.
LIST_COMPARE_INTERVAL_S = 1.7
LIST_FETCH_SLOT_S = 1.0
# For this time after a change, every fetch requests the whole list; afterwards only one
# fetch in eight does.
LIST_VERIFICATION_PERIOD_S = 30.0
LIST_LATER_FETCH_SHARE = 1 / 8


def derive_list_bytes_per_s(nodes: int, zones: int, changes_per_s: float) -> float:
    """Return the traffic of a node for the instance list, in both directions.

    :param nodes: number of instances in the list.
    :param zones: number of availability zones.
    :param changes_per_s: changed entries per second.
    :returns: bytes per second.
    """
    calls_per_s = 2 * compute_list_calls_per_s(changes_per_s)
    call_bytes_per_s = calls_per_s * (CALL_BYTES + 2 * LIST_STATE_BYTES)
    change_bytes_per_s = 2 * LIST_PARTNERS * changes_per_s * LIST_CHANGE_BYTES
    whole_lists_per_s = _compute_whole_lists_per_s(nodes, zones, changes_per_s)
    return (
        call_bytes_per_s + change_bytes_per_s + whole_lists_per_s * INSTANCE_LIST_BYTES
    )


def derive_list_cpu_ratio(
    slopes: Mapping[str, Slope], nodes: int, zones: int, changes_per_s: float
) -> float:
    """Return the CPU time of a node for the instance list.

    :param slopes: measured slopes by case name.
    :param nodes: number of instances in the list.
    :param zones: number of availability zones.
    :param changes_per_s: changed entries per second.
    :returns: CPU seconds per second.
    """
    fetch_us = slopes["parse the instance list"].compute_cost(nodes)
    fetch_us += slopes["compare a fetched instance list"].compute_cost(nodes)
    change_us = slopes["apply one change of the instance list"].compute_cost(nodes)
    change_us += slopes["adopt a parsed instance list"].compute_cost(nodes)
    change_us += slopes["choose list partners"].compute_cost(nodes)
    slot_us = slopes["choose who fetches the instance list"].compute_cost(nodes)
    call_us = slopes["encode and decode a list state of one change"].fixed
    call_us += slopes["encode and decode a peer call of 400 bytes"].fixed
    cpu_us_per_s = _compute_whole_lists_per_s(nodes, zones, changes_per_s) * fetch_us
    cpu_us_per_s += min(changes_per_s, 1 / LIST_FETCH_SLOT_S) * change_us
    cpu_us_per_s += slot_us / LIST_FETCH_SLOT_S
    cpu_us_per_s += 2 * compute_list_calls_per_s(changes_per_s) * call_us
    return cpu_us_per_s * SECONDS_PER_US


def _compute_whole_lists_per_s(nodes: int, zones: int, changes_per_s: float) -> float:
    """Return the number of whole lists that a node fetches per second."""
    recent_change_share = min(changes_per_s * LIST_VERIFICATION_PERIOD_S, 1.0)
    whole_fetch_share = (
        recent_change_share + (1 - recent_change_share) * LIST_LATER_FETCH_SHARE
    )
    return whole_fetch_share * zones / LIST_FETCH_SLOT_S / nodes


def compute_list_calls_per_s(changes_per_s: float) -> float:
    """Return the list calls per second that a node makes, and as many it receives.

    :param changes_per_s: changed entries per second.
    """
    change_calls_per_s = min(changes_per_s, 1 / LIST_FETCH_SLOT_S)
    return LIST_PARTNERS * max(change_calls_per_s, 1 / LIST_COMPARE_INTERVAL_S)
