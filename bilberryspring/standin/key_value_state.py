"""State of the key-value stand-in: store, call counts, rate limits, faults, watches."""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from bilberryspring.process.settings import Address
from bilberryspring.standin.key_value_checks import RESOURCE_EXHAUSTED, GatewayError
from bilberryspring.standin.key_value_messages import WatchCreateRequest
from bilberryspring.standin.key_value_store import Event, KeyValueStore, StoreCopy
from bilberryspring.standin.token_bucket import TokenBucket

__all__ = ["KeyValueSettings", "KeyValueFaults", "Watch", "KeyValueStandin"]

LEASE_CHECK_INTERVAL_S = 0.05


class KeyValueSettings(BaseModel):
    """Settings of the key-value stand-in.

    :param address: IP address and port to serve on.
    :param writes_per_s: rate limit of writes; zero for no limit.
    :param reads_per_s: rate limit of reads; zero for no limit.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: Address
    writes_per_s: float = Field(default=400.0, ge=0)
    reads_per_s: float = Field(default=2000.0, ge=0)


class KeyValueFaults(BaseModel):
    """Injected faults.

    :param outage: whether to reset the connection of each call, without effect, and to
        end every watch.
    :param unavailable: whether to answer calls with status 503, without effect.
    :param delay_s: delay before each call is handled.
    :param hang: whether to leave calls without a response and without effect.
    :param lose_replies: number of writes to apply and then reset the connection.
    :param hang_replies: number of writes to apply and leave without a response.
    :param reply_prefix: key prefix of the writes that the two faults above affect;
        empty for every write.
    :param drop_lease: id of a lease to revoke at once; zero for none.
    """

    model_config = ConfigDict(extra="forbid")

    outage: bool = False
    unavailable: bool = False
    delay_s: float = Field(default=0.0, ge=0)
    hang: bool = False
    lose_replies: int = Field(default=0, ge=0)
    hang_replies: int = Field(default=0, ge=0)
    reply_prefix: str = ""
    drop_lease: int = 0


class Watch:
    """One open watch.

    :param request: keys to watch.
    :ivar batches: queue of event batches; None ends the watch.
    """

    def __init__(self, request: WatchCreateRequest):
        self.request = request
        self.batches: asyncio.Queue[list[Event] | None] = asyncio.Queue()

    def enqueue_matching(self, events: list[Event]) -> None:
        """Queue the events of the watched keys.

        :param events: events of one change.
        """
        first_key, end_key = self.request.key, self.request.range_end
        first_revision = self.request.start_revision
        matching = [
            event
            for event in events
            if event.current.mod_revision >= first_revision
            and _in_range(event.current.key, first_key, end_key)
        ]
        if matching:
            self.batches.put_nowait(matching)


class KeyValueStandin:
    """State of one key-value stand-in.

    :param settings: settings of the stand-in.
    :ivar copy: copy of the store that the next restoration uses; None if there is none.
    :ivar calls: number of calls by path, and of ``reads``, ``writes`` and ``refused``.
    """

    def __init__(self, settings: KeyValueSettings):
        self.store = KeyValueStore(time.monotonic)
        self.faults = KeyValueFaults()
        self.copy: StoreCopy | None = None
        self.calls: Counter[str] = Counter()
        self.watches: set[Watch] = set()
        self.started_s = time.monotonic()
        self._write_limiter = TokenBucket(settings.writes_per_s, time.monotonic)
        self._read_limiter = TokenBucket(settings.reads_per_s, time.monotonic)
        self._lease_task: asyncio.Task | None = None
        self._calls_in_progress: set[asyncio.Task] = set()

    async def start(self, _application: web.Application | None = None) -> None:
        """Start the delivery of events to watches and the expiry of leases."""
        self.store.listeners.append(self._notify_watches)
        self._lease_task = asyncio.create_task(self._expire_leases_periodically())

    async def close(self, _application: web.Application | None = None) -> None:
        """Stop the expiry of leases, cancel calls in progress and end every watch."""
        if self._lease_task is not None:
            self._lease_task.cancel()
        for task in self._calls_in_progress:
            task.cancel()
        self.end_watches()

    async def run_to_completion(
        self, call: Coroutine[None, None, web.StreamResponse]
    ) -> web.StreamResponse:
        """Run a call to its end, even if its client disconnects.

        :param call: coroutine that handles the call.
        :returns: the response.
        """
        task = asyncio.create_task(call)
        self._calls_in_progress.add(task)
        task.add_done_callback(self._calls_in_progress.discard)
        return await asyncio.shield(task)

    def make_copy(self) -> None:
        """Copy the store, for a later restoration."""
        self.copy = self.store.copy()

    def restore(self) -> bool:
        """Restore the store from its copy and end every watch.

        :returns: whether there was a copy.
        """
        if self.copy is None:
            return False
        self.store.restore(self.copy)
        self.end_watches()
        return True

    def end_watches(self) -> None:
        """End every open watch."""
        for watch in self.watches:
            watch.batches.put_nowait(None)

    def admit(self, path: str, writes: bool) -> GatewayError | None:
        """Count a call and apply the rate limit of reads or writes.

        :param path: path of the call.
        :param writes: whether the call writes.
        :returns: the error to report; None if the call is admitted.
        """
        self.calls[path] += 1
        self.calls["writes" if writes else "reads"] += 1
        rate_limiter = self._write_limiter if writes else self._read_limiter
        # An open watch counts as one read per second.
        reserved_per_s = 0 if writes else len(self.watches)
        if rate_limiter.take(reserved_per_s):
            return None
        self.calls["refused"] += 1
        return GatewayError(RESOURCE_EXHAUSTED, "etcdserver: too many requests")

    def _notify_watches(self, events: list[Event]) -> None:
        for watch in self.watches:
            watch.enqueue_matching(events)

    async def _expire_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire_leases()


def _in_range(key: bytes, first_key: bytes, end_key: bytes) -> bool:
    if not end_key:
        return key == first_key
    return first_key <= key and (end_key == b"\0" or key < end_key)
