"""Discovery of routers: each one stores its address under a lease in the store."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.identifiers import InstanceId
from bilberryspring.platform.metadata_messages import Lease
from bilberryspring.platform.metadata_store import MetadataStore
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import Failure

__all__ = ["RouterDiscovery", "make_router_discovery"]

ROUTERS_PREFIX = "routers/"
LEASE_DURATION_S = 20.0
# A lease renewal and a stale list each cost a tenth of a normal call.
REFRESH_INTERVAL_S = 4.0
FIRST_LIST_DELAY_S = 0.5
# A list may be this old when the store sends it.
MAX_LIST_AGE_S = 5.0


@dataclass(frozen=True, slots=True)
class _Registration:
    """This router's entry in the store.

    :param lease: lease that the entry is attached to.
    :param position: position at which the entry was written.
    :param written_s: monotonic time at which the store had written it.
    """

    lease: Lease
    position: StorePosition
    written_s: float


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
        self._registration: _Registration | None = None

    async def run(self) -> None:
        """Renew the registration and list the other routers, until cancelled."""
        await self._register()
        await asyncio.sleep(FIRST_LIST_DELAY_S)
        while True:
            await self._list_routers()
            await asyncio.sleep(REFRESH_INTERVAL_S)
            if not await self._renew():
                await self._register()

    async def unregister(self) -> None:
        """Remove the registration.

        Only the entry is removed. Its lease lasts until it expires, because its id may
        be another router's if the store was restored meanwhile.
        """
        registration, self._registration = self._registration, None
        if registration is not None:
            await self._store.commit(
                {},
                expected_positions={self._key: registration.position},
                removals=[self._key],
            )

    async def _list_routers(self) -> None:
        requested_s = time.monotonic()
        listing = await self._store.list_prefix(ROUTERS_PREFIX, may_be_stale=True)
        if isinstance(listing, Failure):
            return
        self._on_addresses(
            [item.value.decode("ascii", "replace") for item in listing.items]
        )
        registration = self._registration
        if (
            registration is not None
            and requested_s - registration.written_s > MAX_LIST_AGE_S
            and self._key not in [item.key for item in listing.items]
        ):
            log_event("dependency_lost", dependency="router entry", reason="not listed")
            self._registration = None

    async def _renew(self) -> bool:
        """Renew the lease.

        :returns: whether this router may still be registered. A renewal without a
            response may have taken effect; the next one shows it.
        """
        registration = self._registration
        if registration is None:
            return False
        return await self._store.renew_lease(registration.lease) is not False

    async def _register(self) -> None:
        self._registration = None
        lease = await self._store.grant_lease(LEASE_DURATION_S)
        if isinstance(lease, Failure):
            log_event("dependency_lost", dependency="lease", reason=lease.reason)
            return
        result = await self._store.commit(
            {self._key: self._ip.encode("ascii")}, lease=lease
        )
        if isinstance(result, StorePosition):
            self._registration = _Registration(lease, result, time.monotonic())
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
