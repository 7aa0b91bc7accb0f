"""Discovery of routers: each one stores its address under a lease in the store."""

import asyncio
from collections.abc import Callable

from bilberryspring.identifiers import InstanceId
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import Failure

__all__ = ["RouterDiscovery", "make_router_discovery"]

ROUTERS_PREFIX = "routers/"
LEASE_DURATION_S = 20.0
# A lease renewal and a stale list each cost a tenth of a normal call.
REFRESH_INTERVAL_S = 4.0
FIRST_LIST_DELAY_S = 0.5


class RouterDiscovery:
    """A client that registers this router and lists the addresses of all routers.

    :param store: client of the store.
    :param instance_id: id of this router.
    :param ip: IP address of this router.
    :param on_addresses: called with the IP addresses of all registered routers.
    """

    def __init__(
        self,
        store: MetadataStore,
        instance_id: InstanceId,
        ip: str,
        on_addresses: Callable[[list[str]], None],
    ):
        self._store = store
        self._key = f"{ROUTERS_PREFIX}{instance_id}"
        self._ip = ip
        self._on_addresses = on_addresses
        self._lease_id = 0

    async def run(self) -> None:
        """Renew the registration and list the other routers, until cancelled."""
        await self._register()
        await asyncio.sleep(FIRST_LIST_DELAY_S)
        while True:
            listing = await self._store.list_prefix(ROUTERS_PREFIX, may_be_stale=True)
            if not isinstance(listing, Failure):
                self._on_addresses(
                    [item.value.decode("ascii", "replace") for item in listing.items]
                )
            await asyncio.sleep(REFRESH_INTERVAL_S)
            if not await self._is_registered():
                await self._register()

    async def unregister(self) -> None:
        """Remove the registration."""
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)

    async def _is_registered(self) -> bool:
        # A renewal without a response may have taken effect; the next one shows whether
        # the lease still exists.
        if not self._lease_id:
            return False
        return await self._store.renew_lease(self._lease_id) is not False

    async def _register(self) -> None:
        lease = await self._store.grant_lease(LEASE_DURATION_S)
        if isinstance(lease, Failure):
            log_event("dependency_lost", dependency="lease", reason=lease.reason)
            return
        result = await self._store.commit(
            {self._key: self._ip.encode("ascii")}, lease_id=lease.lease_id
        )
        if isinstance(result, int):
            self._lease_id = lease.lease_id
        else:
            log_event("dependency_lost", dependency="router entry", reason=str(result))


def make_router_discovery(
    store: MetadataStore,
    instance_id: InstanceId,
    ip: str,
    on_addresses: Callable[[list[str]], None],
) -> RouterDiscovery:
    """Return a client that has not registered this router.

    :param store: client of the store.
    :param instance_id: id of this router.
    :param ip: IP address of this router.
    :param on_addresses: called with the IP addresses of all registered routers.
    """
    return RouterDiscovery(store, instance_id, ip, on_addresses)
