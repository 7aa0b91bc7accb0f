"""Periodic deletion of claims whose keys every agent refuses because of their age.

Keys contain a timestamp and sort by it, so the old claims of one workspace at one route
form one range, which is deleted without being read. Agents check periodically whether a
sweep is due; a compare-and-swap of the record of the last sweep selects the agent that
performs it. The cutoff of a sweep also depends on the time in the record of the
previous sweep, which another agent wrote, so that a single wrong clock cannot delete
claims that are still needed.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence

from pydantic import BaseModel, ConfigDict, ValidationError

from bilberryspring.capability.store import (
    Delete,
    DeleteResult,
    Get,
    KeyRange,
    KeyValue,
    Operation,
    Put,
    Store,
    TransactionResult,
    key_absent,
    mod_revision_is,
    prefix_end,
)
from bilberryspring.identifiers import InstanceId, RouteName, WorkspaceName
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.process.logs import log_event
from bilberryspring.request.claim_values import CLAIM_PREFIX, make_claim_group
from bilberryspring.request.errors import Failure
from bilberryspring.request.idempotency import MAX_CLOCK_SKEW_S, format_key_time
from bilberryspring.version.index import ConfigurationIndex

__all__ = [
    "SWEEP_RECORD_KEY",
    "ClaimSweeper",
    "SweepRecord",
    "compute_cutoff",
    "compute_sweep_interval",
    "is_sweep_due",
    "list_claim_groups",
]

SWEEP_RECORD_KEY = "/bilberryspring/claim-sweep"
MAX_INTERVAL_S = 7200.0
SWEEPS_PER_RETENTION = 12
GROUPS_PER_CALL = 32
# Pause between calls that keeps a sweep of many workspaces within the traffic budget
# of one node.
CALL_PAUSE_S = 20.0
GROUP_PATH_SEGMENTS = 2
# Spreads the first checks of agents that start at the same time.
MAX_FIRST_DELAY_S = 30.0


class SweepRecord(BaseModel):
    """Stored record of the last sweep.

    :param instance_id: agent that performed the sweep.
    :param started_s: start of the sweep by that agent's clock, in seconds since the
        epoch.
    :param retention_s: longest retention of any agent that has performed a sweep or
        updated the record.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    instance_id: str
    started_s: float
    retention_s: float


def compute_sweep_interval(retention_s: float) -> float:
    """Return the time between two sweeps, in seconds.

    :param retention_s: how long a claim is kept.

    >>> compute_sweep_interval(86_400.0)
    7200.0
    """
    return min(MAX_INTERVAL_S, max(retention_s / SWEEPS_PER_RETENTION, 1.0))


def is_sweep_due(
    last_sweep: SweepRecord, instance_id: str, now_s: float, interval_s: float
) -> bool:
    """Return whether an agent may perform the next sweep.

    The agent that performed the last sweep waits twice as long, so that another agent
    performs the next one if there is one. A record that is equally far in the future
    comes from a wrong clock, and the sweep counts as due.

    :param last_sweep: record of the last sweep.
    :param instance_id: the agent.
    :param now_s: time of the agent, in seconds since the epoch.
    :param interval_s: time between two sweeps.
    """
    wait_s = interval_s * (2 if last_sweep.instance_id == instance_id else 1)
    return abs(now_s - last_sweep.started_s) >= wait_s


def compute_cutoff(last_sweep: SweepRecord, now_s: float, retention_s: float) -> float:
    """Return the time since the epoch before which the claims of keys may be deleted.

    :param last_sweep: record of the previous sweep.
    :param now_s: time of the agent that performs the sweep, in seconds since the epoch.
    :param retention_s: retention of that agent.

    >>> compute_cutoff(SweepRecord(instance_id="a", started_s=9e4, retention_s=60.0),
    ...     95_000.0, 3600.0)
    85500.0
    """
    kept_s = max(retention_s, last_sweep.retention_s) + MAX_CLOCK_SKEW_S
    return min(now_s, last_sweep.started_s) - kept_s


def list_claim_groups(index: ConfigurationIndex | None) -> list[str]:
    """Return the key prefixes of all pairs of a workspace and a non-idempotent route.

    :param index: configuration in force; ``None`` gives an empty list.
    """
    if index is None:
        return []
    return [
        make_claim_group(RouteName(route.name), WorkspaceName(workspace))
        for route in index.routes.values()
        if not route.idempotent
        for workspace in index.workspaces
    ]


class ClaimSweeper:
    """Background task that performs sweeps of old claims in turn with other agents.

    :param key_value: client of the key-value service.
    :param instance_id: this agent.
    :param retention_s: how long a claim is kept.
    :param list_groups: returns the key prefixes under which claims are expected.
    :param pause_s: time between the calls of a sweep.
    :param wall_clock: returns the seconds since the epoch.
    """

    def __init__(
        self,
        key_value: Store,
        instance_id: InstanceId,
        retention_s: float,
        list_groups: Callable[[], Iterable[str]],
        *,
        pause_s: float = CALL_PAUSE_S,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._key_value = key_value
        self._instance_id = instance_id
        self._retention_s = retention_s
        self._list_groups = list_groups
        self._pause_s = pause_s
        self._wall_clock = wall_clock
        self._interval_s = compute_sweep_interval(retention_s)
        self._worker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check for a due sweep."""
        self._worker = asyncio.create_task(self._work())

    async def close(self) -> None:
        """Stop the background task; the next sweep deletes what this one did not."""
        if self._worker is not None:
            self._worker.cancel()
            await asyncio.gather(self._worker, return_exceptions=True)
            self._worker = None

    async def _work(self) -> None:
        await asyncio.sleep(
            random.uniform(0.0, min(MAX_FIRST_DELAY_S, self._interval_s))
        )
        while True:
            await self.sweep_if_due()
            await asyncio.sleep(self._interval_s * random.uniform(0.5, 1.0))

    async def sweep_if_due(self) -> int | None:
        """Perform the next sweep if it is due and no other agent performs it.

        :returns: the number of claims deleted; ``None`` if no sweep was performed.
        """
        item = await self._key_value.get(
            SWEEP_RECORD_KEY, mechanism=ControlMechanism.CLAIMS
        )
        if isinstance(item, Failure):
            return None
        now_s = self._wall_clock()
        last_sweep = _decode_record(item)
        if last_sweep is None:
            await self._replace_record(
                item, self._make_record(now_s, self._retention_s)
            )
            return None
        if not is_sweep_due(last_sweep, self._instance_id, now_s, self._interval_s):
            if self._retention_s > last_sweep.retention_s:
                updated = last_sweep.model_copy(
                    update={"retention_s": self._retention_s}
                )
                await self._replace_record(item, updated)
            return None
        retention_s = max(self._retention_s, last_sweep.retention_s)
        if not await self._replace_record(item, self._make_record(now_s, retention_s)):
            return None
        deleted = await self._sweep(
            compute_cutoff(last_sweep, now_s, self._retention_s)
        )
        log_event("claims_swept", deleted=deleted)
        return deleted

    def _make_record(self, now_s: float, retention_s: float) -> SweepRecord:
        return SweepRecord(
            instance_id=self._instance_id, started_s=now_s, retention_s=retention_s
        )

    async def _replace_record(self, item: KeyValue | None, record: SweepRecord) -> bool:
        """Replace the stored record if it is unchanged.

        After a lost reply no sweep is performed until the next one is due.

        :param item: the stored record as it was read; ``None`` if there was none.
        :param record: the new record.
        :returns: whether the record is known to be replaced.
        """
        compare = (
            key_absent(SWEEP_RECORD_KEY)
            if item is None
            else mod_revision_is(SWEEP_RECORD_KEY, item.mod_revision)
        )
        put = Put(SWEEP_RECORD_KEY, record.model_dump_json().encode())
        result = await self._key_value.transact(
            (compare,), (put,), mechanism=ControlMechanism.CLAIMS
        )
        return isinstance(result, TransactionResult) and result.succeeded

    async def _sweep(self, cutoff_s: float) -> int:
        """Delete the old claims of every group and return their number.

        :param cutoff_s: time since the epoch; claims with older keys are deleted.
        """
        cutoff = format_key_time(cutoff_s)
        known_groups = sorted(set(self._list_groups()))
        starts = [CLAIM_PREFIX, *map(_compute_prefix_end, known_groups)]
        ends = [*known_groups, _compute_prefix_end(CLAIM_PREFIX)]
        gaps = list(zip(starts, ends, strict=True))
        deleted = 0
        for first in range(0, len(gaps), GROUPS_PER_CALL):
            last = first + GROUPS_PER_CALL
            count = await self._sweep_groups(
                known_groups[first:last], gaps[first:last], cutoff
            )
            if count is None:
                break
            deleted += count
            await asyncio.sleep(self._pause_s)
        return deleted

    async def _sweep_groups(
        self, groups: Sequence[str], gaps: Sequence[tuple[str, str]], cutoff: str
    ) -> int | None:
        """Delete the old claims of known groups and of the ranges between them.

        :param groups: key prefixes in sort order.
        :param gaps: first key and end of each range that no known group covers.
        :param cutoff: first characters of the oldest idempotency keys to keep.
        :returns: the number of claims deleted; ``None`` if the service failed.
        """
        operations = [_delete_before(group, cutoff) for group in groups]
        operations += [_read_first(*gap) for gap in gaps]
        responses = await self._transact(operations)
        if responses is None:
            return None
        deleted = _count_deleted(responses)
        found = [each for each in responses if isinstance(each, KeyRange)]
        for (_, end), first in zip(gaps, found, strict=True):
            deleted += await self._sweep_gap(first, end, cutoff)
        return deleted

    async def _sweep_gap(self, first: KeyRange, end: str, cutoff: str) -> int:
        """Delete the old claims of groups that the configuration does not contain.

        :param first: first key of the range, without its value; empty if the range is.
        :param end: end of the range, exclusive.
        :param cutoff: first characters of the oldest idempotency keys to keep.
        :returns: the number of claims deleted.
        """
        deleted = 0
        while first.items:
            key = first.items[0].key
            group = _parse_group(key)
            # A key that is not the key of a claim is skipped.
            after = key + "\0" if group is None else _compute_prefix_end(group)
            operations: list[Operation] = [_read_first(after, end)]
            if group is not None:
                operations.append(_delete_before(group, cutoff))
            responses = await self._transact(operations)
            if responses is None:
                return deleted
            deleted += _count_deleted(responses)
            first = responses[0]
            await asyncio.sleep(self._pause_s)
        return deleted

    async def _transact(self, operations: Sequence[Operation]) -> Sequence | None:
        result = await self._key_value.transact(
            (), operations, mechanism=ControlMechanism.CLAIMS
        )
        if isinstance(result, Failure) or len(result.responses) != len(operations):
            return None
        return result.responses


def _decode_record(item: KeyValue | None) -> SweepRecord | None:
    if item is None:
        return None
    try:
        return SweepRecord.model_validate_json(item.value)
    except ValidationError:
        return None


def _compute_prefix_end(prefix: str) -> str:
    return prefix_end(prefix).decode()


def _delete_before(group: str, cutoff: str) -> Delete:
    return Delete(group, range_end=group + cutoff)


def _read_first(start: str, end: str) -> Get:
    return Get(start, limit=1, range_end=end, is_keys_only=True)


def _parse_group(key: str) -> str | None:
    parts = key.removeprefix(CLAIM_PREFIX).split("/")
    if len(parts) != GROUP_PATH_SEGMENTS + 1:
        return None
    return f"{key.rpartition('/')[0]}/"


def _count_deleted(responses: Sequence) -> int:
    return sum(each.deleted for each in responses if isinstance(each, DeleteResult))
