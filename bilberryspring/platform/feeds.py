"""Follows the operator's configuration and the list of servers in the store."""

import asyncio
import time
from collections.abc import Callable, Iterable

from bilberryspring.capability.routing import RoutingTable
from bilberryspring.identifiers import InstanceId
from bilberryspring.platform.documents import decode_routing_table, decode_server
from bilberryspring.platform.metadata_store import (
    HistoryGone,
    MetadataStore,
    StoreItem,
)
from bilberryspring.process.logs import log_event
from bilberryspring.process.server_table import ServerTable
from bilberryspring.request.errors import Failure

__all__ = ["ConfigurationFeed", "ServerFeed", "follow_prefix"]

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
# A watch that waits longer than this on a connection that has gone silent would keep
# a change from being in force in time.
CONFIGURATION_WAIT_S = 0.8
# Servers write in turn; one answer then holds the changes of some of them.
SERVER_PAUSE_S = 0.35
SERVER_WAIT_S = 1.0
RETRY_S = 0.15
# Servers whose entries lapsed while the store was away write them again in about two
# seconds of its return; one that left meanwhile must get nothing after that.
LAPSED_GRACE_S = 1.9
# Part of the time in which a leaving server must get no more work.
LEAVING_SHARE = 0.9
LAPSE_CHECK_S = 0.1


async def follow_prefix(
    store: MetadataStore,
    prefix: str,
    *,
    wait_s: float,
    pause_s: float,
    replace: Callable[[Iterable[StoreItem]], None],
    change: Callable[[StoreItem], None],
    note_state: Callable[[bool], None],
) -> None:
    """Keep a view of a prefix up to date, until cancelled.

    :param store: client of the store.
    :param prefix: what the keys begin with.
    :param wait_s: longest time that a question for changes is kept waiting.
    :param pause_s: pause after an answer, so that changes come together.
    :param replace: takes every item there is.
    :param change: takes one change.
    :param note_state: takes whether the store answered, for each call.
    """
    revision = None
    while True:
        if revision is None:
            found = await store.list_prefix(prefix)
            if not isinstance(found, Failure):
                note_state(True)
                replace(found.items)
                revision = found.revision
                continue
        else:
            found = await store.watch_prefix(prefix, revision, wait_s)
            if isinstance(found, HistoryGone):
                note_state(True)
                log_event("dependency_lost", dependency=prefix, reason="history gone")
                revision = None
                continue
            if not isinstance(found, Failure):
                note_state(True)
                for item in found.items:
                    change(item)
                revision = found.revision
                await asyncio.sleep(pause_s if found.items else 0)
                continue
        note_state(False)
        log_event(
            "dependency_lost",
            level="WARNING",
            dependency=f"store {prefix}",
            reason=found.reason,
        )
        await asyncio.sleep(RETRY_S)


class ConfigurationFeed:
    """Keeps the newest configuration; it never goes back to an older one.

    :param store: client of the store.
    :param adopt: takes each newer table.
    """

    def __init__(self, store: MetadataStore, adopt: Callable[[RoutingTable], None]):
        self._store = store
        self._adopt = adopt
        self._version = -1

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        await follow_prefix(
            self._store,
            CONFIGURATION_KEY,
            wait_s=CONFIGURATION_WAIT_S,
            pause_s=0.0,
            replace=self._replace,
            change=self._change,
            note_state=lambda _: None,
        )

    def _replace(self, items: Iterable[StoreItem]) -> None:
        for item in items:
            self._change(item)

    def _change(self, item: StoreItem) -> None:
        if item.key != CONFIGURATION_KEY or item.value is None:
            return
        table = decode_routing_table(item.value, item.revision)
        if isinstance(table, Failure):
            log_event("update_refused", level="ERROR", reason=table.reason)
            return
        if table.version <= self._version:
            return
        self._version = table.version
        self._adopt(table)


class ServerFeed:
    """Keeps the table of servers in step with their entries.

    :param store: client of the store.
    :param servers: table to keep.
    :param changed: called after each change.
    :param leaving_s: time after which a server that has left must get no more work.
    """

    def __init__(
        self,
        store: MetadataStore,
        servers: ServerTable,
        changed: Callable[[], None],
        leaving_s: float,
    ):
        self._leaving_s = leaving_s * LEAVING_SHARE
        self._store = store
        self._servers = servers
        self._changed = changed
        self._is_away = False
        self._returned_s = 0.0
        self._lapsed: dict[InstanceId, float] = {}
        self.has_listed = False

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        await follow_prefix(
            self._store,
            SERVERS_PREFIX,
            wait_s=SERVER_WAIT_S,
            pause_s=SERVER_PAUSE_S,
            replace=self._replace,
            change=self._change,
            note_state=self._note_state,
        )

    def _note_state(self, answers: bool) -> None:
        now_s = time.monotonic()
        if answers and self._is_away:
            self._returned_s = now_s
            log_event("dependency_regained", dependency="store")
        self._is_away = not answers

    async def watch_lapsed(self) -> None:
        """Forget servers whose lapsed entries did not come back, until cancelled."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            self.forget_lapsed(time.monotonic())

    def forget_lapsed(self, now_s: float) -> None:
        """Forget servers whose lapsed entries did not come back in time.

        :param now_s: monotonic time.
        """
        for server_id, until_s in list(self._lapsed.items()):
            if now_s >= until_s:
                del self._lapsed[server_id]
                self._servers.remove(server_id, "its entry did not come back")
                self._changed()

    def _replace(self, items: Iterable[StoreItem]) -> None:
        listed = set()
        for item in items:
            listed.add(_read_id(item.key))
            self._change(item)
        for server_id in [each for each in self._servers.records if each not in listed]:
            self._lose(server_id)
        self.has_listed = True
        self._changed()

    def _change(self, item: StoreItem) -> None:
        server_id = _read_id(item.key)
        if item.value is None:
            self._lose(server_id)
        else:
            server = decode_server(server_id, item.value)
            self._lapsed.pop(server_id, None)
            if isinstance(server, Failure):
                log_event("update_refused", level="WARNING", reason=server.reason)
                self._servers.remove(server_id, server.reason)
            else:
                self._servers.put(server)
        self._changed()

    def _lose(self, server_id: InstanceId) -> None:
        now_s = time.monotonic()
        until_s = min(self._returned_s + LAPSED_GRACE_S, now_s + self._leaving_s)
        if self._returned_s and now_s < until_s:
            self._lapsed.setdefault(server_id, until_s)
        else:
            self._servers.remove(server_id, "its entry is gone")


def _read_id(key: str) -> InstanceId:
    return InstanceId(key.removeprefix(SERVERS_PREFIX))
