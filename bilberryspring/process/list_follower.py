"""Following of the platform's instance list with a bounded number of fetches.

The platform serves the list only as a whole. In each time slot one process of each
availability zone fetches it. Every process sends the changes of a newer list to two
partners and periodically compares its list with theirs. A process also fetches the list
when it starts, when no process has confirmed its list for some seconds, and when a
partner's list contradicts its own. The platform's response overrides partners' lists.
"""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceSource,
)
from bilberryspring.connection.instance_list_messages import (
    MAX_AGE_MS,
    InstanceListState,
)
from bilberryspring.connection.peers import PeerPool
from bilberryspring.identifiers import AvailabilityZone, InstanceId, Region
from bilberryspring.process.accounting import Ledger
from bilberryspring.process.budget import measure_control_cpu
from bilberryspring.process.list_calls import compare_lists
from bilberryspring.process.list_history import Changes, ListHistory
from bilberryspring.process.list_partners import (
    ProcessLocation,
    choose_list_partners,
    find_fetch_turn,
)
from bilberryspring.process.list_trust import ListTrust
from bilberryspring.process.logs import log_event
from bilberryspring.process.membership import Members
from bilberryspring.process.settings import ProcessSettings
from bilberryspring.request.errors import Failure

__all__ = ["ListFollower", "make_list_follower"]

# Limit on the fetches that the whole fleet makes outside its turns.
MAX_FLEET_FETCHES_PER_S = 400.0
# A list whose last confirmation is older than this is fetched. The jitter keeps
# processes from fetching at the same time.
STALE_AGE_S = 6.0
STALE_AGE_JITTER_S = 2.0
# Partners are notified of a confirmation if it is newer by this much than the last one.
MIN_CONFIRMATION_INTERVAL_S = 2.0
COMPARE_INTERVAL_S = 2.5
# The backup process of a zone fetches after this share of a slot.
BACKUP_FETCH_SLOT_SHARE = 0.4
# Share of fetches that verify a list received from a partner, whatever its age.
VERIFICATION_PROBABILITY = 1 / 8
PARTNER_BACKOFF_S = 5.0


class ListFollower:
    """Follower that keeps a process's members in step with the platform's list.

    :param settings: settings of the process.
    :param client: client of the platform's list, which the follower starts and closes.
    :param members: members that each new list is applied to.
    :param peers: connections to other processes.
    :param ledger: ledger that counts the control traffic.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        client: InstanceSource,
        members: Members,
        peers: PeerPool,
        ledger: Ledger,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.ledger = ledger
        self.history = ListHistory()
        self._location = ProcessLocation(
            InstanceId(settings.instance_id),
            AvailabilityZone(settings.availability_zone),
            Region(settings.region),
        )
        self._slot_s = settings.instance_list_poll_s
        self._client = client
        self._members = members
        self._peers = peers
        self._clock = clock
        self._trust = ListTrust()
        self._confirmed_s = float("-inf")
        self._announced_s = float("-inf")
        self._last_fetch_s = float("-inf")
        self._stale_age_s = STALE_AGE_S + random.uniform(0, STALE_AGE_JITTER_S)
        self._is_disputed = False
        # Whether to fetch outside this process's turns.
        self._is_fetch_needed = False
        self._partners: list[Instance] = []
        self._partners_source: InstanceList | None = None
        self._skipped_partners: list[InstanceId] = []
        self._partner_revisions: dict[InstanceId, int] = {}
        self._last_comparison_s: dict[InstanceId, float] = {}
        self._unresponsive_until_s: dict[InstanceId, float] = {}
        self._fetch_task: asyncio.Task[None] | None = None
        self._outage_began_s: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Fetch the list once, then follow it in the background."""
        await self._client.start()
        await self.fetch()
        self._start_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()

    async def fetch(self) -> None:
        """Fetch the list from the platform, which overrides the held one."""
        requested_s = self._last_fetch_s = self._clock()
        held_before = self.history.listed
        fetched = await self._client.fetch(self._choose_entity_tag())
        if isinstance(fetched, Failure):
            self._record_outage(fetched)
            # Retried over a new connection.
            self._is_fetch_needed = True
            return
        self._record_recovery()
        current = held_before if fetched is None else fetched
        held = self.history.listed
        if held is not held_before and current.revision < held.revision:
            # A partner sent a newer list meanwhile; this response may be older.
            return
        self._is_disputed = self._is_fetch_needed = False
        self._confirmed_s = requested_s
        self._trust.record_fetch(current.revision, held.revision, self._clock())
        if self.history.replace(current):
            self._adopt()
        else:
            self._announce_confirmation()

    def _choose_entity_tag(self) -> str:
        """Return the held list's entity tag, or an empty one to fetch the whole list.

        A matching tag does not confirm the entries, since a partner may have sent the
        tag with other entries.
        """
        if self._is_disputed or self._trust.is_unverified(self._clock()):
            return ""
        listed = self.history.listed
        is_own = self._trust.is_confirmed_revision(listed.revision)
        if not is_own and random.random() < VERIFICATION_PROBABILITY:
            return ""
        return listed.entity_tag

    def receive(
        self, state: InstanceListState, caller: InstanceId
    ) -> InstanceListState:
        """Merge the list state of another process and return the own one.

        :param state: list state of the other process.
        :param caller: the other process.
        :returns: state of the list held here, with the changes since the caller's
            revision if they are known.
        """
        sender = self._members.find(caller)
        # Lists of other regions have unrelated revisions and other addresses.
        if sender is None or sender.region == self._location.region:
            self._merge_state(state, caller)
        return self._make_state(state.revision)

    def _merge_state(self, state: InstanceListState, sender: InstanceId) -> None:
        """Merge the list state of another process, which may be old or wrong.

        :param state: list state of the other process.
        :param sender: the other process.
        """
        held = self.history.listed.revision
        now_s = self._clock()
        if not held or not state.revision or not self._trust.is_trusted(sender, now_s):
            return
        self._partner_revisions[sender] = state.revision
        seen_s = now_s - state.age_ms / 1000
        if state.revision == held:
            self._handle_same_revision(state, sender, seen_s)
        elif state.revision > held:
            self._handle_newer_revision(state, sender, seen_s)
        elif self._trust.is_superseded(seen_s):
            self._mark_disputed(sender, "the platform confirmed a lower revision later")

    def _handle_same_revision(
        self, state: InstanceListState, sender: InstanceId, seen_s: float
    ) -> None:
        if state.digest == self.history.digest:
            if seen_s > self._confirmed_s:
                self._confirmed_s = seen_s
                self._announce_confirmation()
        elif self._trust.is_confirmed_revision(state.revision):
            self._trust.distrust(sender, self._clock())
        else:
            self._mark_disputed(
                sender, "the partner has other entries at the same revision"
            )

    def _handle_newer_revision(
        self, state: InstanceListState, sender: InstanceId, seen_s: float
    ) -> None:
        if self._trust.is_refuted_revision(state.revision, self._clock()):
            return
        if self.history.apply(state):
            self._confirmed_s = max(self._confirmed_s, seen_s)
            self._trust.record_peer_list(self._clock())
            self._is_fetch_needed = False
            self._adopt()
        elif (
            state.base_revision <= self.history.listed.revision and state.base_revision
        ):
            self._mark_disputed(sender, "the changes do not match the digest")

    def _mark_disputed(self, sender: InstanceId, why: str) -> None:
        if not self._is_disputed:
            log_event("instance_list_disputed", level="WARNING", sender=sender, why=why)
        self._is_disputed = True

    def read_age(self) -> float:
        """Return the seconds since the platform confirmed the list in use."""
        return self._clock() - self._confirmed_s

    def _record_outage(self, failure: Failure) -> None:
        if self._outage_began_s is not None:
            return
        self._outage_began_s = self._clock()
        log_event(
            "dependency_lost",
            level="WARNING",
            dependency="instance_list",
            reason=failure.reason,
            list_age_s=self.read_age(),
        )

    def _record_recovery(self) -> None:
        if self._outage_began_s is None:
            return
        log_event(
            "dependency_regained",
            dependency="instance_list",
            lost_s=self._clock() - self._outage_began_s,
        )
        self._outage_began_s = None

    def _adopt(self) -> None:
        self._members.adopt(self.history.listed)
        names = {node.instance_id for node in self.history.listed.instances}
        for by_instance in (
            self._partner_revisions,
            self._last_comparison_s,
            self._unresponsive_until_s,
        ):
            for name in by_instance.keys() - names:
                del by_instance[name]
        self._notify_partners()

    def _announce_confirmation(self) -> None:
        if self._confirmed_s - self._announced_s > MIN_CONFIRMATION_INTERVAL_S:
            self._notify_partners()

    def _notify_partners(self) -> None:
        self._announced_s = self._confirmed_s
        for partner in self._choose_partners():
            self._start_comparison(partner)

    def _notify_replacements(self, started_s: float) -> None:
        """Notify the partners that replace an unresponsive one.

        :param started_s: start of the comparison with the unresponsive partner.
        """
        for partner in self._choose_partners():
            last_s = self._last_comparison_s.get(partner.instance_id, float("-inf"))
            if last_s < started_s:
                self._start_comparison(partner)

    def _choose_partners(self) -> list[Instance]:
        now_s = self._clock()
        unresponsive = [
            name for name, end_s in self._unresponsive_until_s.items() if end_s > now_s
        ]
        listed = self.history.listed
        if (
            listed is not self._partners_source
            or unresponsive != self._skipped_partners
        ):
            self._partners = choose_list_partners(self._location, listed, unresponsive)
            self._partners_source, self._skipped_partners = listed, unresponsive
        return self._partners

    def _make_state(self, receiver_revision: int) -> InstanceListState:
        """Return the state of the held list.

        :param receiver_revision: revision that the receiver holds, to include the
            changes since then; zero for none.
        """
        history = self.history
        age_ms = int(min(1000 * (self._clock() - self._confirmed_s), MAX_AGE_MS))
        changes = None
        if 0 < receiver_revision < history.listed.revision:
            changes = history.select_changes(receiver_revision)
        changes = changes or Changes(0)
        return InstanceListState(
            history.listed.revision,
            history.digest,
            history.listed.entity_tag,
            age_ms,
            changes.base,
            changes.changed,
            changes.removed,
        )

    def _start_comparison(self, partner: Instance) -> None:
        self._last_comparison_s[partner.instance_id] = self._clock()
        self._start_task(self._compare(partner))

    async def _compare(self, partner: Instance) -> None:
        """Compare lists with a partner.

        A second round follows if the partner's revision is lower than the one assumed
        for the changes.
        """
        name = partner.instance_id
        started_s = self._last_comparison_s.get(name, self._clock())
        for _ in range(2):
            sent = self._make_state(self._partner_revisions.get(name, 0))
            reply = await compare_lists(self._peers, self.ledger, partner, sent)
            if isinstance(reply, Failure):
                self._unresponsive_until_s[name] = self._clock() + PARTNER_BACKOFF_S
                self._notify_replacements(started_s)
                return
            self._merge_state(reply, name)
            if reply.revision > self.history.listed.revision:
                # The partner's changes begin after the held revision.
                self._is_fetch_needed = True
            if not 0 < reply.revision < sent.revision:
                return

    async def _run(self) -> None:
        while True:
            remaining_s = self._slot_s - time.time() % self._slot_s
            await asyncio.sleep(remaining_s + random.uniform(0, 0.1 * self._slot_s))
            slot = int(time.time() / self._slot_s)
            slot_began_s = self._clock()
            turn = self.begin_slot(slot)
            await asyncio.sleep(BACKUP_FETCH_SLOT_SHARE * self._slot_s)
            self.continue_slot(turn, slot_began_s)

    def begin_slot(self, slot: int) -> int | None:
        """Fetch if it is this process's turn, and compare with idle partners.

        :param slot: number of the time slot.
        :returns: this process's turn in the slot, see :func:`find_fetch_turn`.
        """
        turn = find_fetch_turn(self._location, self.history.listed, slot)
        if turn == 0 or self._is_extra_fetch_due():
            self._start_fetch()
        now_s = self._clock()
        for partner in self._choose_partners():
            last_s = self._last_comparison_s.get(partner.instance_id, float("-inf"))
            if now_s - last_s > COMPARE_INTERVAL_S:
                self._start_comparison(partner)
        return turn

    def continue_slot(self, turn: int | None, slot_began_s: float) -> None:
        """Fetch as the backup if the list was not confirmed since the slot began.

        :param turn: this process's turn in the time slot.
        :param slot_began_s: monotonic time at which the slot began.
        """
        if turn == 1 and self._confirmed_s < slot_began_s:
            self._start_fetch()

    def _start_fetch(self) -> None:
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = self._start_task(self.fetch())

    def _is_extra_fetch_due(self) -> bool:
        """Return whether to fetch outside this process's turns."""
        now_s = self._clock()
        is_stale = now_s - self._confirmed_s > self._stale_age_s
        if not (is_stale or self._is_disputed or self._is_fetch_needed):
            return False
        min_interval_s = len(self.history.listed.instances) / MAX_FLEET_FETCHES_PER_S
        return now_s - self._last_fetch_s > min_interval_s

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(measure_control_cpu(self.ledger, coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            log_event("instance_list_task_failed", level="ERROR", error=error)


def make_list_follower(
    settings: ProcessSettings,
    client: InstanceSource,
    members: Members,
    peers: PeerPool,
    ledger: Ledger,
) -> ListFollower:
    """Return a follower that is not started.

    :param settings: settings of the process.
    :param client: client of the platform's list, not started.
    :param members: members that each new list is applied to.
    :param peers: connections to other processes.
    :param ledger: ledger that counts the control traffic.
    """
    return ListFollower(settings, client, members, peers, ledger)
