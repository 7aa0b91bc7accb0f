"""Client of the platform's metadata store.

Values are base64 text on the wire and bytes everywhere else. A call without a response
may have taken effect; its connection is closed and not reused.

The store may be restored from a copy, which begins a new epoch: revisions and leases of
the former one have no meaning in it. A response belongs to the epoch that it states.
"""

import asyncio
import base64
import json
import math
import time
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import quote

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.http_backend import (
    BackendConnection,
    ConnectionFailure,
    ConnectionFailureKind,
    ResponseHead,
    open_connection,
)
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.metadata_messages import (
    HistoryCompacted,
    HistoryReplaced,
    Lease,
    StoreChanges,
    StoreConflict,
    StoreItem,
    StoreListing,
    StoreResponse,
    decode_changes,
    decode_epoch,
    decode_item,
    decode_page,
    decode_response,
    make_store_failure,
    parse_body,
    parse_int,
)
from bilberryspring.process.addresses import split_address
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import Failure

__all__ = ["MetadataStore", "make_metadata_store"]

# The store responds within some milliseconds. If a response takes longer than a second,
# a new connection is worth a try.
CALL_TIMEOUT_S = 1.5
# A read that is overdue by this much is repeated over a new connection, since an open
# one may have gone silent while the store is sound.
READ_PATIENCE_S = 0.5
# Values of up to a megabyte, encoded in base64, and their keys.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.7
# Epoch of a store that states none.
UNSTATED_EPOCH = StoreEpoch(0)


class MetadataStore:
    """A client of the store, with persistent connections that carry one call at a time.

    :param address: ``ip:port`` of the store.
    :ivar epoch: history of the store by its latest response; ``None`` before the first.
    :ivar failed_s: monotonic time at which the store itself last failed: it refused a
        connection or a call, or did not answer over a new connection. The silence of a
        connection that was open before shows no failure of the store.
    :ivar is_store_watcher: returns whether this router reads the store for others too.
    """

    def __init__(self, address: str):
        self.epoch: StoreEpoch | None = None
        self._epoch_changes = 0
        self._host, self._port = split_address(address)
        self._idle: list[BackendConnection] = []
        # All open connections, and when they were opened.
        self._opened_s: dict[BackendConnection, float] = {}
        self.call_count = 0
        self.failed_s = -math.inf
        self.is_store_watcher: Callable[[], bool] = lambda: True

    async def read_key(self, key: str) -> StoreItem | None | Failure:
        """Read one key.

        :param key: key to read.
        :returns: the item, ``None`` if the key does not exist, or a failure.
        """
        response = await self._read(f"/kv-key?key={quote(key, safe='/')}")
        if isinstance(response, Failure):
            return response
        if response.status == 404:
            return None
        return parse_body(response, lambda body: decode_item(body, response.epoch))

    async def list_prefix(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreListing | Failure:
        """Read all keys with a prefix, page by page.

        :param prefix: prefix of the keys.
        :param may_be_stale: accept a list that is seconds old, which costs the store a
            tenth of a current one.
        :returns: the items, or a failure.
        """
        items: list[StoreItem] = []
        first_position = None
        path = f"/kv-range?prefix={quote(prefix, safe='/')}"
        if may_be_stale:
            path += "&serializable=1"
        page_path = path
        while True:
            response = await self._read(page_path)
            if isinstance(response, Failure):
                return response
            page = parse_body(
                response, lambda body, epoch=response.epoch: decode_page(body, epoch)
            )
            if isinstance(page, Failure):
                return page
            page_items, position, is_truncated = page
            first_position = first_position or position
            if position.epoch != first_position.epoch:
                return make_store_failure("the store was restored between two pages")
            items += page_items
            if not is_truncated or not page_items:
                return StoreListing(tuple(items), first_position)
            # Despite its name, this parameter is the last key of the previous page.
            page_path = f"{path}&sinceRev={quote(page_items[-1].key, safe='/')}"

    async def watch_prefix(
        self, prefix: str, since: StorePosition, max_wait_s: float
    ) -> StoreChanges | HistoryCompacted | HistoryReplaced | Failure:
        """Wait for changes of keys with a prefix.

        :param prefix: prefix of the keys.
        :param since: position after which changes are reported.
        :param max_wait_s: time in seconds after which the store responds even if there
            is no change.
        :returns: the changes, :class:`HistoryCompacted` if the store no longer has
            them, :class:`HistoryReplaced` if the position is of a former history, or a
            failure.
        """
        if self.epoch not in (None, since.epoch):
            return HistoryReplaced()
        path = (
            f"/kv-watch?prefix={quote(prefix, safe='/')}"
            f"&sinceRev={since.revision}&waitMs="
        )
        response = await self._read(
            f"{path}{round(max_wait_s * 1000)}", max_wait_s, f"{path}0"
        )
        if isinstance(response, Failure):
            return response
        if response.epoch != since.epoch:
            return HistoryReplaced()
        if response.status == 410:
            return HistoryCompacted()
        return parse_body(response, lambda body: decode_changes(body, since))

    async def commit(
        self,
        writes: Mapping[str, bytes],
        *,
        lease: Lease | None = None,
        expected_positions: Mapping[str, StorePosition | None] | None = None,
        removals: Sequence[str] = (),
    ) -> StorePosition | StoreConflict | Failure:
        """Write and remove keys, all of them or none.

        :param writes: values to write, by key.
        :param lease: lease that the written keys are attached to; ``None`` for none.
        :param expected_positions: positions of the last changes that keys must have for
            the transaction to apply; ``None`` for a key that must not exist.
        :param removals: keys to remove.
        :returns: position of the changes, :class:`StoreConflict` if a key has another
            position, or a failure, after which the transaction may still have applied.
        """
        expected_positions = expected_positions or {}
        stated = [position for position in expected_positions.values() if position]
        if any(position.epoch != self.epoch for position in stated):
            return StoreConflict()
        if lease is not None and lease.epoch != self.epoch:
            return make_store_failure("the lease is of a former history of the store")
        document = {
            "expectedRev": [
                {"key": key, "revision": position.revision if position else 0}
                for key, position in expected_positions.items()
            ],
            "writes": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode("ascii"),
                    "lease": lease.lease_id if lease else 0,
                }
                for key, value in writes.items()
            ],
            "remove": list(removals),
        }
        response = await self._call("POST", "/kv-txn", document)
        if isinstance(response, Failure):
            return response
        # Revisions and the lease may have been given out again to others.
        epochs = {position.epoch for position in stated}
        if lease is not None:
            epochs.add(lease.epoch)
        if epochs - {response.epoch}:
            return make_store_failure("the store was restored before the transaction")
        if response.status == 412:
            return StoreConflict()
        return parse_body(
            response,
            lambda body: StorePosition(response.epoch, parse_int(body, "revision")),
        )

    async def grant_lease(self, duration_s: float) -> Lease | Failure:
        """Create a lease.

        :param duration_s: time in seconds that it lasts without a renewal.
        :returns: the lease, or a failure.
        """
        document = {"ttlMs": round(duration_s * 1000)}
        response = await self._call("POST", "/kv-lease", document)
        if isinstance(response, Failure):
            return response
        return parse_body(
            response,
            lambda body: Lease(
                parse_int(body, "lease"),
                parse_int(body, "ttlMs") / 1000,
                response.epoch,
            ),
        )

    async def renew_lease(self, lease: Lease) -> bool | Failure:
        """Renew a lease.

        :param lease: the lease.
        :returns: whether the lease still existed, or a failure. A lease of a former
            history does not exist, whatever has its id now.
        """
        if lease.epoch != self.epoch:
            return False
        response = await self._call("POST", f"/kv-keep/{lease.lease_id}")
        if isinstance(response, Failure):
            return response
        if response.status == 404 or response.epoch != lease.epoch:
            return False
        return parse_body(response, lambda _: True)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            self._close(connection)
        self._idle.clear()

    async def _read(
        self, path: str, max_wait_s: float = 0.0, repeated_path: str = ""
    ) -> StoreResponse | Failure:
        """Read, and repeat an overdue read over a new connection.

        The first response counts. If it is that of a repetition, the connection of the
        first read is silent, and so may be all others that were open. Routers that read
        for others are to notice first that the store is back, so they go on repeating
        the read; the others repeat it once, and not if its connection was new.

        :param path: path and query of the read.
        :param max_wait_s: time in seconds for which the store may hold the response.
        :param repeated_path: path and query of the repetition, which the store does not
            hold; empty for the same as ``path``.
        :returns: the response, or the failure of a read.
        """
        started_s = time.monotonic()
        is_first_new = not max_wait_s and not self._idle
        first = asyncio.ensure_future(
            self._call("GET", path, timeout_s=max_wait_s + CALL_TIMEOUT_S)
        )
        reads = [first]
        try:
            await asyncio.wait(reads, timeout=max_wait_s + READ_PATIENCE_S)
            if first.done():
                return first.result()
            if is_first_new and not self.is_store_watcher():
                self.failed_s = time.monotonic()
                return await first
            repetitions = 1
            if self.is_store_watcher():
                repetitions = math.ceil(CALL_TIMEOUT_S / READ_PATIENCE_S)
            for _ in range(repetitions):
                reads.append(
                    asyncio.ensure_future(
                        self._call(
                            "GET", repeated_path or path, uses_new_connection=True
                        )
                    )
                )
                answered = await _wait_for_answer(reads, READ_PATIENCE_S)
                if answered is not None or all(each.done() for each in reads):
                    break
                self.failed_s = time.monotonic()
            else:
                rest_s = CALL_TIMEOUT_S - repetitions * READ_PATIENCE_S
                answered = await _wait_for_answer(reads, max(rest_s, 0.0))
            if answered is not None:
                if answered is not first and not first.done():
                    # Connections that were opened later may be those of other
                    # repetitions.
                    self._close_connections(started_s + READ_PATIENCE_S)
                return answered.result()
            failures = [each.result() for each in reads if each.done()]
            return (failures or [make_store_failure("no response from the store")])[0]
        finally:
            for each in reads:
                each.cancel()

    async def _call(
        self,
        method: str,
        path: str,
        document: Mapping[str, object] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        uses_new_connection: bool = False,
    ) -> StoreResponse | Failure:
        body = b"" if document is None else json.dumps(document).encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}:{self._port}",
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.append("Content-Type: application/json")
        request = "\r\n".join([*lines, "", ""]).encode("ascii") + body
        self.call_count += 1
        started_s = time.monotonic()
        epoch_changes = self._epoch_changes
        connection = None if uses_new_connection else self._take_idle()
        # A watch may be cut, or its connection go silent, while the store is sound.
        shows_failure = connection is None and timeout_s <= CALL_TIMEOUT_S
        if connection is None:
            opened = await open_connection(self._host, self._port, CONNECT_TIMEOUT_S)
            if isinstance(opened, ConnectionFailure):
                self.failed_s = time.monotonic()
                return make_store_failure(
                    f"cannot connect to the store: {opened.reason}"
                )
            connection = opened
            self._opened_s[connection] = started_s
        try:
            connection.send(request)
            async with asyncio.timeout(timeout_s):
                head, content = await _read_response(connection)
        except TimeoutError:
            if shows_failure and connection in self._opened_s:
                self.failed_s = time.monotonic()
            self._close(connection)
            self._close_connections(started_s)
            return make_store_failure(
                f"no response from the store within {timeout_s:.1f} s"
            )
        except BaseException:
            self._close(connection)
            raise
        if isinstance(head, ConnectionFailure):
            if shows_failure and connection in self._opened_s:
                self.failed_s = time.monotonic()
            self._close(connection)
            return make_store_failure(f"connection {head.kind.value}: {head.reason}")
        if head.status == 429 or head.status >= 500:
            self.failed_s = time.monotonic()
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            self._close(connection)
        epoch = self._read_epoch(head, epoch_changes)
        return decode_response(head.status, content, epoch)

    def _read_epoch(
        self, head: ResponseHead, epoch_changes: int
    ) -> StoreEpoch | Failure:
        """Return the history that a response belongs to, and note a new one.

        :param head: head of the response.
        :param epoch_changes: number of changes of the epoch when the call was sent.
        """
        epoch = decode_epoch(head)
        if isinstance(epoch, Failure):
            return epoch
        if epoch is None:
            if self.epoch not in (None, UNSTATED_EPOCH):
                return make_store_failure("a response that does not state its epoch")
            epoch = UNSTATED_EPOCH
        if epoch == self.epoch:
            return epoch
        if epoch_changes != self._epoch_changes:
            return make_store_failure(f"a late response of epoch {epoch}")
        if self.epoch is not None:
            log_event("store_restored", level="WARNING", epoch=epoch, former=self.epoch)
            # Watches of the former history wait for changes that may not come.
            self._close_connections(math.inf)
        self.epoch = epoch
        self._epoch_changes += 1
        return epoch

    def _close(self, connection: BackendConnection) -> None:
        self._opened_s.pop(connection, None)
        connection.close()

    def _close_connections(self, opened_before_s: float) -> None:
        """Close the connections that were opened before some time.

        Whatever stalled one connection may have stalled all that were open then. A
        watch would notice that only after its own timeout, which is long.

        :param opened_before_s: monotonic time in seconds; infinite for all.
        """
        for connection, opened_s in list(self._opened_s.items()):
            if opened_s < opened_before_s:
                self._close(connection)
                if connection in self._idle:
                    self._idle.remove(connection)

    def _take_idle(self) -> BackendConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            self._close(connection)
        return None


async def _wait_for_answer(
    reads: Sequence[asyncio.Future[StoreResponse | Failure]], timeout_s: float
) -> asyncio.Future[StoreResponse | Failure] | None:
    """Wait until the store answers one of several reads, or all have failed.

    :param reads: the reads, one of which at least is not done.
    :param timeout_s: longest wait in seconds.
    :returns: the first read with a response, ``None`` if there is none in time.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        for each in reads:
            if each.done() and not isinstance(each.result(), Failure):
                return each
        pending = [each for each in reads if not each.done()]
        rest_s = end_s - time.monotonic()
        if not pending or rest_s <= 0:
            return None
        await asyncio.wait(pending, timeout=rest_s, return_when=asyncio.FIRST_COMPLETED)


async def _read_response(
    connection: BackendConnection,
) -> tuple[ResponseHead | ConnectionFailure, bytes]:
    head = await connection.read_head()
    content = bytearray()
    while not isinstance(head, ConnectionFailure):
        chunk = await connection.read_chunk()
        if chunk is None:
            break
        if isinstance(chunk, ConnectionFailure):
            return chunk, b""
        content += chunk
        if len(content) > MAX_RESPONSE_BYTES:
            connection.close()
            reason = f"a response of more than {MAX_RESPONSE_BYTES} bytes"
            return ConnectionFailure(ConnectionFailureKind.MALFORMED, reason), b""
    return head, bytes(content)


def make_metadata_store(address: str) -> MetadataStore:
    """Return a client without connections.

    :param address: ``ip:port`` of the store.
    """
    return MetadataStore(address)
