"""Routers find each other in the store: each keeps its address there under a lease."""

import asyncio
from collections.abc import Callable

from bilberryspring.identifiers import InstanceId
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import Failure

__all__ = ["RouterDirectory", "make_router_directory"]

PREFIX = "routers/"
LEASE_S = 20.0
# Renewals and stale lists cost a tenth of a call each.
INTERVAL_S = 4.0
FIRST_LIST_S = 0.5


class RouterDirectory:
    """Keeps this router's entry, and tells of the others'.

    :param store: client of the store.
    :param instance_id: this router.
    :param ip: its address.
    :param found: takes the addresses of all routers.
    """

    def __init__(
        self,
        store: MetadataStore,
        instance_id: InstanceId,
        ip: str,
        found: Callable[[list[str]], None],
    ):
        self._store = store
        self._key = f"{PREFIX}{instance_id}"
        self._ip = ip
        self._found = found
        self._lease_id = 0

    async def run(self) -> None:
        """Keep the entry and read the others', until cancelled."""
        await self._enter()
        await asyncio.sleep(FIRST_LIST_S)
        while True:
            listing = await self._store.list_prefix(PREFIX, may_be_stale=True)
            if not isinstance(listing, Failure):
                self._found(
                    [item.value.decode("ascii", "replace") for item in listing.items]
                )
            await asyncio.sleep(INTERVAL_S)
            if not await self._is_entered():
                await self._enter()

    async def leave(self) -> None:
        """Remove the entry."""
        if self._lease_id:
            await self._store.end_lease(self._lease_id)

    async def _is_entered(self) -> bool:
        # A renewal without an answer may have taken effect; the next one tells.
        if not self._lease_id:
            return False
        return await self._store.renew_lease(self._lease_id) is not False

    async def _enter(self) -> None:
        lease = await self._store.grant_lease(LEASE_S)
        if isinstance(lease, Failure):
            log_event("dependency_lost", dependency="lease", reason=lease.reason)
            return
        found = await self._store.commit(
            {self._key: self._ip.encode("ascii")}, lease_id=lease.lease_id
        )
        if isinstance(found, int):
            self._lease_id = lease.lease_id
        else:
            log_event("dependency_lost", dependency="router entry", reason=str(found))


def make_router_directory(
    store: MetadataStore,
    instance_id: InstanceId,
    ip: str,
    found: Callable[[list[str]], None],
) -> RouterDirectory:
    """Return a directory that has not entered this router.

    :param store: client of the store.
    :param instance_id: this router.
    :param ip: its address.
    :param found: takes the addresses of all routers.
    """
    return RouterDirectory(store, instance_id, ip, found)
