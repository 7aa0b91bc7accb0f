"""Records of requests that crashed backend servers, by content digest.

After one crash a request is a suspect and runs alone; a second crash quarantines its
digest until the record expires. Each process that receives a new crash record announces
it once to a few random others, so that the announcement spreads as gossip.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from bilberryspring.connection.calls import register_call_handler
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "CrashRecords",
    "CrashTracker",
    "make_crash_records",
    "make_crash_tracker",
    "announce_crash",
]

QUARANTINE_CRASHES = 2
RECORD_TTL_S = 600.0
MAX_RECORDS = 10_000
ANNOUNCE_FANOUT = 4
ANNOUNCE_TIMEOUT_S = 1.0


class CrashRecords:
    """Known crashes of backend servers that ran a request, by content digest.

    Each crash has an id, so that several reports of one crash count once.

    :ivar on_news: callbacks, called with the digest and all its known crash ids when a
        crash becomes known.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[frozenset[str], float]] = {}
        self.crash_callbacks: list[Callable[[str, frozenset[str]], None]] = []

    def find(self, content_digest: str) -> frozenset[str]:
        """Return the ids of the known crashes of a digest.

        :param content_digest: digest of the request's content.
        :returns: the crash ids; empty if there are none or the record has expired.
        """
        crash_ids, recorded_s = self._records.get(content_digest, (frozenset(), 0.0))
        return (
            crash_ids if time.monotonic() - recorded_s < RECORD_TTL_S else frozenset()
        )

    def check_quarantine(self, content_digest: str) -> bool | Failure:
        """Return whether a request is a suspect, or refuse a quarantined one.

        :param content_digest: digest of the request's content.
        :returns: whether the request must run alone, or a ``REQUEST_QUARANTINED``
            failure.

        >>> records = make_crash_records()
        >>> records.check_quarantine("d")
        False
        >>> records.add_crashes("d", {"agent-1/1"}), records.check_quarantine("d")
        (True, True)
        >>> records.add_crashes("d", {"agent-2/1"})
        True
        >>> records.check_quarantine("d").kind.value
        'request_quarantined'
        """
        crash_ids = self.find(content_digest)
        if len(crash_ids) < QUARANTINE_CRASHES:
            return bool(crash_ids)
        recorded_s = self._records[content_digest][1]
        remaining_s = max(recorded_s + RECORD_TTL_S - time.monotonic(), 1.0)
        return make_failure(ErrorKind.REQUEST_QUARANTINED, retry_after_s=remaining_s)

    def list_recent(self, count: int) -> list[tuple[str, frozenset[str]]]:
        """Return the digests with the latest crashes, each with its crash ids.

        :param count: maximum number of digests; zero returns none.
        """
        latest = list(self._records)[-count:] if count else []
        return [(digest, self.find(digest)) for digest in latest if self.find(digest)]

    def clear(self, content_digest: str) -> None:
        """Remove the crashes of a digest after a complete response to its request.

        A frequent request is often running when another request crashes the backend
        server, so that its digest is recorded although it did not cause the crash.

        :param content_digest: digest of the request's content.

        >>> records = make_crash_records()
        >>> records.add_crashes("d", {"agent-1/1"})
        True
        >>> records.clear("d")
        >>> records.check_quarantine("d")
        False
        """
        self._records.pop(content_digest, None)

    def add_crashes(self, content_digest: str, crash_ids: Iterable[str]) -> bool:
        """Add crashes to the record of a digest.

        :param content_digest: digest of the request's content; empty adds nothing.
        :param crash_ids: ids of the crashes, known ones included.
        :returns: whether a crash was added.
        """
        known = self.find(content_digest)
        # Ids beyond the quarantine threshold add no information.
        new_ids = sorted(set(crash_ids) - known)[: QUARANTINE_CRASHES - len(known)]
        if not content_digest or not new_ids:
            return False
        self._records.pop(content_digest, None)
        self._records[content_digest] = (known | set(new_ids), time.monotonic())
        while len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        log_event(
            "crash_recorded", digest=content_digest, crashes=len(known) + len(new_ids)
        )
        for callback in self.crash_callbacks:
            callback(content_digest, self.find(content_digest))
        return True


class CrashTracker:
    """Assigns ids to the crashes of an agent's backend server.

    All requests that fail in one crash get the same id. The first response after a
    crash starts the next id.

    :param instance_id: id of the agent process, different after each of its starts.
    """

    def __init__(self, instance_id: str):
        self._instance_id = instance_id
        self._crash_number = 1
        self._is_down = False
        self._suspect_counts: Counter[str] = Counter()

    def record_crash(self) -> str:
        """Record that a crash ended a request and return the id of the crash."""
        self._is_down = True
        return f"{self._instance_id}/{self._crash_number}"

    @contextmanager
    def track_suspect(self, content_digest: str) -> Iterator[None]:
        """Treat a digest as a suspect while the cause of a lost connection is checked.

        :param content_digest: digest of the request whose connection was lost.
        """
        self._suspect_counts[content_digest] += 1
        try:
            yield
        finally:
            self._suspect_counts[content_digest] -= 1
            self._suspect_counts = +self._suspect_counts

    def find_suspected_crash(self, content_digest: str) -> frozenset[str]:
        """Return the id of the possible crash that is being checked for a digest.

        :param content_digest: digest of the request's content.
        :returns: one id; empty if no lost connection of the digest is being checked.
        """
        if not self._suspect_counts[content_digest]:
            return frozenset()
        return frozenset({f"{self._instance_id}/{self._crash_number}"})

    def record_response(self) -> None:
        """Record that the backend server responds."""
        if self._is_down:
            self._is_down = False
            self._crash_number += 1


def make_crash_tracker(instance_id: str) -> CrashTracker:
    """Return a tracker for a backend server that is running.

    :param instance_id: id of the agent process, different after each of its starts.

    >>> watch = make_crash_tracker("agent-1")
    >>> watch.record_crash(), watch.record_crash()
    ('agent-1/1', 'agent-1/1')
    >>> watch.record_response()
    >>> watch.record_crash()
    'agent-1/2'
    """
    return CrashTracker(instance_id)


def make_crash_records() -> CrashRecords:
    """Return crash records without any crash."""
    return CrashRecords()


async def announce_crash(
    process: Any, content_digest: str, crash_ids: frozenset[str]
) -> None:
    """Announce the crashes of a digest to a few random other processes.

    Failed calls are ignored.

    :param process: this process.
    :param content_digest: digest of the request's content.
    :param crash_ids: ids of the known crashes.
    """
    own = process.settings.instance_id
    nodes = [node for node in process.members.all_nodes() if node.instance_id != own]
    payload = " ".join([content_digest, *sorted(crash_ids)]).encode()
    chosen = random.sample(nodes, min(ANNOUNCE_FANOUT, len(nodes)))
    process.ledger.count(
        ControlMechanism.LIVENESS,
        calls=len(chosen),
        sent_bytes=len(payload) * len(chosen),
    )
    await asyncio.gather(
        *[
            process.peers.call(
                node.address, "crashes.announce", payload, ANNOUNCE_TIMEOUT_S
            )
            for node in chosen
        ]
    )


@register_call_handler("crashes.announce")
async def handle_crash_announcement(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Add the crashes that another process announces to the records.

    :param process: this process.
    :param payload: a content digest and one or more crash ids, separated by spaces.
    :param caller: process that makes the announcement.
    :returns: empty bytes; ``MALFORMED_REQUEST`` for any other payload.
    """
    digest, *crash_ids = payload.decode("ascii", "replace").split(" ")
    if not digest or not 0 < len(crash_ids) <= QUARANTINE_CRASHES:
        return make_failure(
            ErrorKind.MALFORMED_REQUEST, "expected digest and crash ids"
        )
    process.crashes.add_crashes(digest, crash_ids)
    return b""
