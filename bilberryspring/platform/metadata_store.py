"""Client of the platform's metadata store.

Values are base64 text on the wire and bytes everywhere else. A call without a response
may have taken effect; its connection is closed and not reused.
"""

import asyncio
import base64
import json
from collections.abc import Mapping, Sequence
from urllib.parse import quote

from bilberryspring.connection.http_backend import (
    BackendConnection,
    ConnectionFailure,
    ConnectionFailureKind,
    ResponseHead,
    open_connection,
)
from bilberryspring.platform.metadata_messages import (
    HistoryCompacted,
    Lease,
    StoreChanges,
    StoreConflict,
    StoreItem,
    StoreListing,
    decode_changes,
    decode_item,
    decode_page,
    decode_response,
    make_store_failure,
    parse_body,
    parse_int,
)
from bilberryspring.process.addresses import split_address
from bilberryspring.request.errors import Failure

__all__ = ["MetadataStore", "make_metadata_store"]

# The store responds within some milliseconds. If a response takes longer than a second,
# a new connection is worth a try.
CALL_TIMEOUT_S = 1.5
# Values of up to a megabyte, encoded in base64, and their keys.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.7


class MetadataStore:
    """A client of the store, with persistent connections that carry one call at a time.

    :param address: ``ip:port`` of the store.
    """

    def __init__(self, address: str):
        self._host, self._port = split_address(address)
        self._idle: list[BackendConnection] = []
        self._busy: set[BackendConnection] = set()
        self.call_count = 0

    async def read_key(self, key: str) -> StoreItem | None | Failure:
        """Read one key.

        :param key: key to read.
        :returns: the item, ``None`` if the key does not exist, or a failure.
        """
        response = await self._call("GET", f"/kv-key?key={quote(key, safe='/')}")
        if isinstance(response, Failure):
            return response
        status, body = response
        if status == 404:
            return None
        return parse_body(status, body, decode_item)

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
        first_revision = None
        path = f"/kv-range?prefix={quote(prefix, safe='/')}"
        if may_be_stale:
            path += "&serializable=1"
        page_path = path
        while True:
            response = await self._call("GET", page_path)
            if isinstance(response, Failure):
                return response
            status, body = response
            page = parse_body(status, body, decode_page)
            if isinstance(page, Failure):
                return page
            page_items, revision, is_truncated = page
            items += page_items
            first_revision = revision if first_revision is None else first_revision
            if not is_truncated or not page_items:
                return StoreListing(tuple(items), first_revision)
            # Despite its name, this parameter is the last key of the previous page.
            page_path = f"{path}&sinceRev={quote(page_items[-1].key, safe='/')}"

    async def watch_prefix(
        self, prefix: str, since_revision: int, max_wait_s: float
    ) -> StoreChanges | HistoryCompacted | Failure:
        """Wait for changes of keys with a prefix.

        :param prefix: prefix of the keys.
        :param since_revision: revision after which changes are reported.
        :param max_wait_s: time in seconds after which the store responds even if there
            is no change.
        :returns: the changes, :class:`HistoryCompacted` if the store no longer has
            them, or a failure.
        """
        path = (
            f"/kv-watch?prefix={quote(prefix, safe='/')}"
            f"&sinceRev={since_revision}&waitMs={round(max_wait_s * 1000)}"
        )
        response = await self._call("GET", path, timeout_s=max_wait_s + CALL_TIMEOUT_S)
        if isinstance(response, Failure):
            return response
        status, body = response
        if status == 410:
            return HistoryCompacted()
        return parse_body(
            status, body, lambda document: decode_changes(document, since_revision)
        )

    async def commit(
        self,
        writes: Mapping[str, bytes],
        *,
        lease_id: int = 0,
        expected_revisions: Mapping[str, int] | None = None,
        removals: Sequence[str] = (),
    ) -> int | StoreConflict | Failure:
        """Write and remove keys, all of them or none.

        :param writes: values to write, by key.
        :param lease_id: lease that the written keys are attached to; zero for none.
        :param expected_revisions: revisions that keys must have for the transaction to
            apply; zero for a key that must not exist.
        :param removals: keys to remove.
        :returns: the new revision, :class:`StoreConflict` if a key has another
            revision, or a failure, after which the transaction may still have applied.
        """
        document = {
            "expectedRev": [
                {"key": key, "revision": revision}
                for key, revision in (expected_revisions or {}).items()
            ],
            "writes": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode("ascii"),
                    "lease": lease_id,
                }
                for key, value in writes.items()
            ],
            "remove": list(removals),
        }
        response = await self._call("POST", "/kv-txn", document)
        if isinstance(response, Failure):
            return response
        status, body = response
        if status == 412:
            return StoreConflict()
        return parse_body(
            status, body, lambda document: parse_int(document, "revision")
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
        status, body = response
        return parse_body(
            status,
            body,
            lambda document: Lease(
                parse_int(document, "lease"), parse_int(document, "ttlMs") / 1000
            ),
        )

    async def renew_lease(self, lease_id: int) -> bool | Failure:
        """Renew a lease.

        :param lease_id: id of the lease.
        :returns: whether the lease still existed, or a failure.
        """
        return await self._call_lease("POST", f"/kv-keep/{lease_id}")

    async def revoke_lease(self, lease_id: int) -> bool | Failure:
        """Revoke a lease, which removes its keys.

        :param lease_id: id of the lease.
        :returns: whether the lease still existed, or a failure.
        """
        return await self._call_lease("DELETE", f"/kv-lease-end/{lease_id}")

    async def _call_lease(self, method: str, path: str) -> bool | Failure:
        """Send a lease operation; status 404 means that the lease no longer exists.

        :param method: HTTP method of the operation.
        :param path: path of the operation, which contains the id of the lease.
        :returns: whether the lease still existed, or a failure.
        """
        response = await self._call(method, path)
        if isinstance(response, Failure):
            return response
        status, body = response
        if status == 404:
            return False
        return parse_body(status, body, lambda _: True)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _call(
        self,
        method: str,
        path: str,
        document: Mapping[str, object] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict] | Failure:
        self.call_count += 1
        connection = self._take_idle()
        if connection is None:
            opened = await open_connection(self._host, self._port, CONNECT_TIMEOUT_S)
            if isinstance(opened, ConnectionFailure):
                return make_store_failure(
                    f"cannot connect to the store: {opened.reason}"
                )
            connection = opened
        body = b"" if document is None else json.dumps(document).encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}:{self._port}",
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.append("Content-Type: application/json")
        connection.send("\r\n".join([*lines, "", ""]).encode("ascii") + body)
        self._busy.add(connection)
        try:
            async with asyncio.timeout(timeout_s):
                head, content = await _read_response(connection)
        except TimeoutError:
            self._close_all_connections()
            return make_store_failure(
                f"no response from the store within {timeout_s:.1f} s"
            )
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self._busy.discard(connection)
        if isinstance(head, ConnectionFailure):
            connection.close()
            return make_store_failure(f"connection {head.kind.value}: {head.reason}")
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()
        return decode_response(head.status, content)

    def _close_all_connections(self) -> None:
        """Close all connections after a call has timed out.

        Whatever stalled one connection may have stalled all of them. A watch would
        notice that only after its own timeout, which is long.
        """
        for connection in (*self._busy, *self._idle):
            connection.close()
        self._idle.clear()

    def _take_idle(self) -> BackendConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None


async def _read_response(
    connection: BackendConnection,
) -> tuple[ResponseHead | ConnectionFailure, bytes]:
    head = await connection.read_head()
    content = b""
    while not isinstance(head, ConnectionFailure):
        chunk = await connection.read_chunk()
        if chunk is None:
            break
        if isinstance(chunk, ConnectionFailure):
            return chunk, content
        content += chunk
        if len(content) > MAX_RESPONSE_BYTES:
            connection.close()
            reason = f"a response of more than {MAX_RESPONSE_BYTES} bytes"
            return ConnectionFailure(ConnectionFailureKind.MALFORMED, reason), b""
    return head, content


def make_metadata_store(address: str) -> MetadataStore:
    """Return a client without connections.

    :param address: ``ip:port`` of the store.
    """
    return MetadataStore(address)
