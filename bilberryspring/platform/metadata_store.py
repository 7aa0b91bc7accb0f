"""Client of the platform's metadata store.

Values cross the wire as base64 text; everywhere else they are bytes. A call that gets
no answer may have taken effect, and the connection that it was sent on is not used
again.
"""

import asyncio
import base64
import json
from collections.abc import Mapping, Sequence
from urllib.parse import quote

from bilberryspring.connection.http_backend import (
    BackendConnection,
    BrokenConnection,
    ResponseHead,
    open_connection,
)
from bilberryspring.platform.metadata_messages import (
    HistoryGone,
    Lease,
    StoreChanges,
    StoreConflict,
    StoreItem,
    StoreListing,
    decode_answer,
    decode_changes,
    decode_item,
    decode_page,
    fail_store,
    read_body,
    read_int,
)
from bilberryspring.process.addresses import split_address
from bilberryspring.request.errors import Failure

__all__ = ["MetadataStore", "make_metadata_store"]

# The store answers in some milliseconds; an answer that takes a second is late enough
# to ask over a new connection.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7


class MetadataStore:
    """Calls the store over connections that are kept, one call at a time each.

    :param address: ``ip:port`` of the store.
    """

    def __init__(self, address: str):
        self._host, self._port = split_address(address)
        self._idle: list[BackendConnection] = []
        self._busy: set[BackendConnection] = set()
        self.calls = 0

    async def read_key(self, key: str) -> StoreItem | None | Failure:
        """Read one key.

        :param key: its name.
        :returns: the item, ``None`` if there is none, or a failure.
        """
        answer = await self._call("GET", f"/kv-key?key={quote(key, safe='/')}")
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 404:
            return None
        return read_body(status, body, decode_item)

    async def list_prefix(
        self, prefix: str, *, may_be_stale: bool = False
    ) -> StoreListing | Failure:
        """Read every key of a prefix, page by page.

        :param prefix: what the keys begin with.
        :param may_be_stale: accept an answer that is seconds old, at a tenth of the
            price.
        """
        items: list[StoreItem] = []
        first_revision = None
        path = f"/kv-range?prefix={quote(prefix, safe='/')}"
        if may_be_stale:
            path += "&serializable=1"
        page_path = path
        while True:
            answer = await self._call("GET", page_path)
            if isinstance(answer, Failure):
                return answer
            status, body = answer
            page = read_body(status, body, decode_page)
            if isinstance(page, Failure):
                return page
            found, revision, is_truncated = page
            items += found
            first_revision = revision if first_revision is None else first_revision
            if not is_truncated or not found:
                return StoreListing(tuple(items), first_revision)
            # Despite its name the parameter takes the last key of the page before.
            page_path = f"{path}&sinceRev={quote(found[-1].key, safe='/')}"

    async def watch_prefix(
        self, prefix: str, since_revision: int, wait_s: float
    ) -> StoreChanges | HistoryGone | Failure:
        """Wait for changes of a prefix.

        :param prefix: what the keys begin with.
        :param since_revision: changes after this one are told.
        :param wait_s: longest wait; no change is an answer as well.
        """
        path = (
            f"/kv-watch?prefix={quote(prefix, safe='/')}"
            f"&sinceRev={since_revision}&waitMs={round(wait_s * 1000)}"
        )
        answer = await self._call("GET", path, timeout_s=wait_s + CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 410:
            return HistoryGone()
        return read_body(
            status, body, lambda found: decode_changes(found, since_revision)
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

        :param writes: values by key.
        :param lease_id: lease that the keys are attached to, zero for none.
        :param expected_revisions: last change of each key that must hold, zero for a
            key that must not exist.
        :param removals: keys to remove.
        :returns: the new revision, or why nothing is known to be done.
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
        answer = await self._call("POST", "/kv-txn", document)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 412:
            return StoreConflict()
        return read_body(status, body, lambda found: read_int(found, "revision"))

    async def grant_lease(self, duration_s: float) -> Lease | Failure:
        """Take a lease.

        :param duration_s: how long it lasts without a renewal.
        """
        document = {"ttlMs": round(duration_s * 1000)}
        answer = await self._call("POST", "/kv-lease", document)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        return read_body(
            status,
            body,
            lambda found: Lease(
                read_int(found, "lease"), read_int(found, "ttlMs") / 1000
            ),
        )

    async def renew_lease(self, lease_id: int) -> bool | Failure:
        """Renew a lease.

        :param lease_id: the lease.
        :returns: whether it still existed.
        """
        return await self._reach_lease("POST", f"/kv-keep/{lease_id}")

    async def end_lease(self, lease_id: int) -> bool | Failure:
        """End a lease and remove its keys.

        :param lease_id: the lease.
        :returns: whether it still existed.
        """
        return await self._reach_lease("DELETE", f"/kv-lease-end/{lease_id}")

    async def _reach_lease(self, method: str, path: str) -> bool | Failure:
        answer = await self._call(method, path)
        if isinstance(answer, Failure):
            return answer
        status, body = answer
        if status == 404:
            return False
        return read_body(status, body, lambda _: True)

    def close(self) -> None:
        """Close the connections."""
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
        self.calls += 1
        connection = self._take_idle()
        if connection is None:
            opened = await open_connection(self._host, self._port, CONNECT_TIMEOUT_S)
            if isinstance(opened, BrokenConnection):
                return fail_store(f"store not reached: {opened.reason}")
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
                head, content = await _read_answer(connection)
        except TimeoutError:
            self._leave_silent()
            return fail_store(f"no answer from the store within {timeout_s:.1f} s")
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self._busy.discard(connection)
        if isinstance(head, BrokenConnection):
            connection.close()
            return fail_store(f"connection {head.kind.value}: {head.reason}")
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()
        return decode_answer(head.status, content)

    def _leave_silent(self) -> None:
        """Close every connection: what silenced one may have silenced all.

        A watch may wait for long, and would not notice by itself.
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


async def _read_answer(
    connection: BackendConnection,
) -> tuple[ResponseHead | BrokenConnection, bytes]:
    head = await connection.read_head()
    content = b""
    while not isinstance(head, BrokenConnection):
        chunk = await connection.read_chunk()
        if chunk is None:
            break
        if isinstance(chunk, BrokenConnection):
            return chunk, content
        content += chunk
    return head, content


def make_metadata_store(address: str) -> MetadataStore:
    """Return a client without connections.

    :param address: ``ip:port`` of the store.
    """
    return MetadataStore(address)
