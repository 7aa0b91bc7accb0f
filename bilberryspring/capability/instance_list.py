"""Interface to the platform's list of instances."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName, Region
from bilberryspring.request.errors import Failure

__all__ = ["InstanceSource", "Role", "InstanceState", "Instance", "InstanceList"]


class Role(Enum):
    """Role of the process that an instance runs."""

    ROUTER = "router"
    AGENT = "agent"


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the fleet.

    :param instance_id: id of the instance.
    :param role: role of its process.
    :param pool: pool of the backend server that the agent serves; empty for a router.
    :param availability_zone: its availability zone.
    :param region: region of that zone.
    :param address: address for connections of other processes, ``ip:port``.
    :param state: whether the instance is live or leaving.
    :param weight: capacity relative to other instances of the pool; above zero.
    """

    instance_id: InstanceId
    role: Role
    pool: PoolName
    availability_zone: AvailabilityZone
    region: Region
    address: str
    state: InstanceState = InstanceState.LIVE
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The platform's instance list at one revision.

    :param revision: revision of the list; a newer list has a higher one.
    :param instances: all listed instances.
    :param entity_tag: entity tag of the list, for conditional requests; empty for none.
    """

    revision: int
    instances: tuple[Instance, ...]
    entity_tag: str = ""


class InstanceSource(Protocol):
    """Client that fetches the instance list."""

    async def start(self) -> None:
        """Open the client."""

    async def close(self) -> None:
        """Close the client."""

    async def fetch(self, entity_tag: str = "") -> InstanceList | Failure | None:
        """Fetch the instance list.

        :param entity_tag: entity tag of the list that the caller has; empty to fetch
            unconditionally.
        :returns: the list, ``None`` if the caller's list is current, or a failure.
        """
