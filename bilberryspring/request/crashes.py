"""Records of requests that crashed backend servers, by content digest.

One crash makes a request a suspect, which runs alone; the second quarantines its
digest for a while. Agents tell a few others, who tell a few others, once each.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from bilberryspring.connection.calls import register_call
from bilberryspring.identifiers import InstanceId
from bilberryspring.process.accounting import Mechanism
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "CrashRecords",
    "CrashWatch",
    "make_crash_records",
    "make_crash_watch",
    "announce_crash",
]

QUARANTINE_CRASHES = 2
RECORD_LIFE_S = 600.0
MAX_RECORDS = 10_000
ANNOUNCE_FANOUT = 4
ANNOUNCE_TIMEOUT_S = 1.0


class CrashRecords:
    """Crashes of backend servers that each content digest had a part in.

    Each crash has an id, so that several reports of one crash count once.

    :ivar on_news: called with digest and crash ids when a crash becomes known.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[frozenset[str], float]] = {}
        self.on_news: list[Callable[[str, frozenset[str]], None]] = []

    def find(self, content_digest: str) -> frozenset[str]:
        """Return the ids of the known and recent crashes of a digest."""
        crash_ids, noted_s = self._records.get(content_digest, (frozenset(), 0.0))
        return crash_ids if time.monotonic() - noted_s < RECORD_LIFE_S else frozenset()

    def judge(self, content_digest: str) -> bool | Failure:
        """Tell whether a request is a suspect, or refuse a quarantined one.

        :param content_digest: digest of the request's content.
        :returns: whether it must run alone, or a ``REQUEST_QUARANTINED`` failure.

        >>> records = make_crash_records()
        >>> records.judge("d"), records.learn("d", {"agent-1/1"}), records.judge("d")
        (False, True, True)
        >>> records.learn("d", {"agent-2/1"}), records.judge("d").kind.value
        (True, 'request_quarantined')
        """
        crash_ids = self.find(content_digest)
        if len(crash_ids) < QUARANTINE_CRASHES:
            return bool(crash_ids)
        noted_s = self._records[content_digest][1]
        left_s = max(noted_s + RECORD_LIFE_S - time.monotonic(), 1.0)
        return make_failure(ErrorKind.REQUEST_QUARANTINED, retry_after_s=left_s)

    def list_recent(self, count: int) -> list[tuple[str, frozenset[str]]]:
        """Return the digests with the latest crashes, each with its crash ids.

        :param count: the most that are returned.
        """
        latest = list(self._records)[-count:] if count else []
        return [(digest, self.find(digest)) for digest in latest if self.find(digest)]

    def clear(self, content_digest: str) -> None:
        """Forget the crashes of a digest, because it was answered whole.

        A common request is often under way when another one crashes its server.

        :param content_digest: digest of the request's content.

        >>> records = make_crash_records()
        >>> records.learn("d", {"agent-1/1"}), records.clear("d"), records.judge("d")
        (True, None, False)
        """
        self._records.pop(content_digest, None)

    def learn(self, content_digest: str, crash_ids: Iterable[str]) -> bool:
        """Add crashes of a digest.

        :param content_digest: digest of the request's content.
        :param crash_ids: crashes that somebody saw.
        :returns: whether any was news.
        """
        known = self.find(content_digest)
        # More ids than quarantine needs would tell nothing.
        fresh = sorted(set(crash_ids) - known)[: QUARANTINE_CRASHES - len(known)]
        if not content_digest or not fresh:
            return False
        self._records.pop(content_digest, None)
        self._records[content_digest] = (known | set(fresh), time.monotonic())
        while len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]
        log_event(
            "crash_recorded", digest=content_digest, crashes=len(known) + len(fresh)
        )
        for callback in self.on_news:
            callback(content_digest, self.find(content_digest))
        return True


class CrashWatch:
    """Names the crashes of the backend server beside an agent.

    Requests that one crash ended get the same id; the next start of the backend
    server begins a new one.

    :param instance_id: the agent, with what tells its starts apart.
    """

    def __init__(self, instance_id: str):
        self._instance_id = instance_id
        self._number = 1
        self._is_down = False
        self._checked: Counter[str] = Counter()

    def note_crash(self) -> str:
        """Return the id of the crash that just ended a request."""
        self._is_down = True
        return f"{self._instance_id}/{self._number}"

    @contextmanager
    def check(self, content_digest: str) -> Iterator[None]:
        """Count a digest as a suspect while a lost connection is examined.

        :param content_digest: digest of the request whose connection was lost.
        """
        self._checked[content_digest] += 1
        try:
            yield
        finally:
            self._checked[content_digest] -= 1
            self._checked = +self._checked

    def find(self, content_digest: str) -> frozenset[str]:
        """Return the id of the crash that is being examined for a digest, if any."""
        if not self._checked[content_digest]:
            return frozenset()
        return frozenset({f"{self._instance_id}/{self._number}"})

    def note_answer(self) -> None:
        """Note that the backend server answers."""
        if self._is_down:
            self._is_down = False
            self._number += 1


def make_crash_watch(instance_id: str) -> CrashWatch:
    """Return a watch over a backend server that is up.

    :param instance_id: the agent, with what tells its starts apart.

    >>> watch = make_crash_watch("agent-1")
    >>> watch.note_crash(), watch.note_crash(), watch.note_answer(), watch.note_crash()
    ('agent-1/1', 'agent-1/1', None, 'agent-1/2')
    """
    return CrashWatch(instance_id)


def make_crash_records() -> CrashRecords:
    """Return empty records."""
    return CrashRecords()


async def announce_crash(
    process: Any, content_digest: str, crash_ids: frozenset[str]
) -> None:
    """Tell a few random processes of the crashes of a digest.

    :param process: the running program.
    :param content_digest: digest of the request.
    :param crash_ids: crashes known here.
    """
    own = process.settings.instance_id
    nodes = [node for node in process.members.all_nodes() if node.instance_id != own]
    payload = " ".join([content_digest, *sorted(crash_ids)]).encode()
    chosen = random.sample(nodes, min(ANNOUNCE_FANOUT, len(nodes)))
    process.ledger.count(
        Mechanism.LIVENESS, calls=len(chosen), sent_bytes=len(payload) * len(chosen)
    )
    await asyncio.gather(
        *[
            process.peers.call(
                node.address, "crashes.announce", payload, ANNOUNCE_TIMEOUT_S
            )
            for node in chosen
        ]
    )


@register_call("crashes.announce")
async def learn_crash(
    process: Any, payload: bytes, caller: InstanceId
) -> bytes | Failure:
    """Adopt the crashes that another process announces."""
    digest, *crash_ids = payload.decode("ascii", "replace").split(" ")
    if not digest or not 0 < len(crash_ids) <= QUARANTINE_CRASHES:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "expected digest and crashes")
    process.crashes.learn(digest, crash_ids)
    return b""
