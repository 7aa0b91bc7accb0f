"""Selection of the first active configuration version of a starting process.

While the key-value service is available, it determines the accepted version. During an
outage, the process polls nodes of every zone. It waits until any version that was
accepted before its start has reached every connected node, and then activates the
highest version that the polled nodes have.
"""

import asyncio
import random
import time
from dataclasses import dataclass

from bilberryspring.capability.instance_list import (
    Instance,
)
from bilberryspring.capability.store import (
    Store,
)
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.membership import Members
from bilberryspring.request.errors import Failure
from bilberryspring.version.objects import Configuration
from bilberryspring.version.partners import sample_instances_by_zone
from bilberryspring.version.peer_calls import VersionCalls
from bilberryspring.version.sources import LoadedVersion, apply_update, read_update
from bilberryspring.version.updates import Announcement, Update

__all__ = ["NO_VERSION", "learn_first_version"]

# Every connected node has activated a version this long after the version was accepted.
PROPAGATION_TIME_S = 3.0
POLLED_PER_ZONE = 2
RETRY_MIN_S = 0.2
RETRY_MAX_S = 2.0

NO_VERSION = LoadedVersion(0, "", Configuration())


@dataclass(frozen=True, slots=True)
class _PollResult:
    """Active versions of the polled nodes.

    :param is_sufficient: whether at least half of the nodes responded and one of them
        has a version.
    :param best_node: node with the highest version; ``None`` if no node responded.
    :param version: version of that node; zero for none.
    """

    is_sufficient: bool
    best_node: Instance | None
    version: int


async def learn_first_version(
    own_id: InstanceId,
    key_value: Store,
    members: Members,
    calls: VersionCalls,
    version_announced: asyncio.Event,
) -> LoadedVersion:
    """Return the accepted version, and retry without a time limit until it is known.

    :param own_id: id of the starting instance.
    :param key_value: client of the platform's key-value service.
    :param members: the process's view of the instance list.
    :param calls: client for calls to other processes.
    :param version_announced: event that is set when a peer announces a version, which
        ends the backoff early.
    """
    outage_since_s: float | None = None
    backoff_s = RETRY_MIN_S
    while True:
        update = await read_update(key_value, 0)
        if isinstance(update, Failure):
            poll = await _poll_nodes(own_id, members, calls)
            if not poll.is_sufficient:
                outage_since_s = None
            elif outage_since_s is None:
                outage_since_s = time.monotonic()
            elif time.monotonic() - outage_since_s >= PROPAGATION_TIME_S:
                update = await _fetch_highest(poll, calls)
        else:
            outage_since_s = None
        if update is not None and not isinstance(update, Failure):
            loaded = await apply_update(NO_VERSION, update)
            if not isinstance(loaded, Failure):
                return loaded
        await _wait_for_announcement(
            version_announced, backoff_s * random.uniform(0.5, 1.0)
        )
        backoff_s = min(backoff_s * 2, RETRY_MAX_S)


async def _wait_for_announcement(
    version_announced: asyncio.Event, timeout_s: float
) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await version_announced.wait()
    except TimeoutError:
        return
    version_announced.clear()


async def _poll_nodes(
    own_id: InstanceId, members: Members, calls: VersionCalls
) -> _PollResult:
    others = [node for node in members.all_nodes() if node.instance_id != own_id]
    polled = sample_instances_by_zone(others, POLLED_PER_ZONE, str(random.random()))
    query = Announcement(0)
    replies = await asyncio.gather(*(calls.announce(node, query) for node in polled))
    versions = [
        (reply, node)
        for node, reply in zip(polled, replies, strict=True)
        if not isinstance(reply, Failure)
    ]
    version, best = max(versions, key=lambda item: item[0], default=(0, None))
    is_sufficient = version > 0 and 2 * len(versions) >= len(polled)
    return _PollResult(is_sufficient, best, version)


async def _fetch_highest(
    poll: _PollResult, calls: VersionCalls
) -> Update | Failure | None:
    if poll.best_node is None:
        return None
    return await calls.fetch(poll.best_node, 0)
