"""Client of the platform's list of live and draining instances.

Each request carries the entity tag of the last list received, so that the reply has no
body if the list has not changed.
"""

import json
from collections.abc import Mapping
from dataclasses import replace

import aiohttp

from bilberryspring.capability.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
    Role,
)
from bilberryspring.connection.http_bodies import read_body
from bilberryspring.connection.turn_client import TurnConnector
from bilberryspring.identifiers import AvailabilityZone, InstanceId, PoolName, Region
from bilberryspring.malformed_input import (
    MALFORMED_ERRORS,
    require_finite,
    require_int,
    require_text,
)
from bilberryspring.process.accounting import ControlMechanism, Ledger
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "InstanceListClient",
    "make_instance_list_client",
    "parse_instance_list",
]

MAX_LIST_BYTES = 4_000_000


def parse_instance_list(document: object) -> InstanceList | Failure:
    """Parse the instance list of the platform.

    :param document: reply body, decoded from JSON.
    :returns: the list, or a failure whose reason names the error.

    >>> parse_instance_list({"revision": 3, "instances": []}).revision
    3
    >>> parse_instance_list([]).kind.value
    'platform_unavailable'
    """
    try:
        entries = document["instances"]
        if not isinstance(entries, list):
            raise ValueError("instances is not a list")
        instances = tuple(
            _parse_instance(entry, f"instances[{position}]")
            for position, entry in enumerate(entries)
        )
        revision = require_int(document["revision"], "revision", 0)
        return InstanceList(revision, instances)
    except MALFORMED_ERRORS as error:
        reason = f"malformed instance list: {type(error).__name__}: {error}"
        return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)


def _parse_instance(entry: Mapping[str, object], path: str) -> Instance:
    if not isinstance(entry, dict):
        raise ValueError(f"{path} is not an object")
    role = Role(_read_text(entry, "role", path))
    weight = require_finite(entry.get("weight", 1.0), f"{path}.weight")
    if weight <= 0:
        raise ValueError(f"{path}.weight is not above zero")
    has_pool = role is Role.AGENT or entry.get("pool", "") != ""
    return Instance(
        instance_id=InstanceId(_read_text(entry, "instance_id", path)),
        role=role,
        pool=PoolName(_read_text(entry, "pool", path) if has_pool else ""),
        availability_zone=AvailabilityZone(
            _read_text(entry, "availability_zone", path)
        ),
        region=Region(_read_text(entry, "region", path)),
        address=_read_text(entry, "address", path),
        state=InstanceState(_read_text(entry, "state", path)),
        weight=weight,
    )


def _read_text(entry: Mapping[str, object], name: str, path: str) -> str:
    return require_text(entry.get(name), f"{path}.{name}")


class InstanceListClient:
    """A client that fetches the instance list over HTTP.

    :param address: ``ip:port`` of the platform's instance list.
    :param timeout_s: timeout of one fetch, in seconds.
    :param ledger: counts requests and received bytes.
    """

    def __init__(self, address: str, timeout_s: float, ledger: Ledger):
        self.address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.ledger = ledger
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=TurnConnector(), timeout=self._timeout
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def fetch(self, entity_tag: str = "") -> InstanceList | Failure | None:
        """Fetch the instance list.

        :param entity_tag: entity tag of the last list received; empty to fetch the
            list unconditionally.
        :returns: the list, ``None`` if it has not changed, or a failure.
        """
        headers = {"If-None-Match": entity_tag} if entity_tag else {}
        url = f"http://{self.address}/v1/instances"
        try:
            async with self._session.get(url, headers=headers) as response:
                body = await read_body(response, MAX_LIST_BYTES)
                self.ledger.count(
                    ControlMechanism.INSTANCE_LIST, received_bytes=len(body)
                )
                if response.status == 304:
                    return None
                if response.status != 200:
                    return _make_unavailable(f"status {response.status}")
                parsed = parse_instance_list(json.loads(body))
                if isinstance(parsed, Failure):
                    return parsed
                return replace(parsed, entity_tag=response.headers.get("ETag", ""))
        except (TimeoutError, aiohttp.ClientError, *MALFORMED_ERRORS) as error:
            return _make_unavailable(f"{type(error).__name__}: {error}")


def _make_unavailable(reason: str) -> Failure:
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, f"instance list: {reason}")


def make_instance_list_client(
    address: str, timeout_s: float, ledger: Ledger
) -> InstanceListClient:
    """Return a client that has not been started.

    :param address: ``ip:port`` of the platform's instance list.
    :param timeout_s: timeout of one fetch, in seconds.
    :param ledger: counts requests and received bytes.
    """
    return InstanceListClient(address, timeout_s, ledger)
