"""Journal of the changes to the prefix cache of an engine stand-in.

The journal is a file of JSON lines that survives a crash of the engine. A restarted
engine appends to the same file, starting with an ``opened`` entry, since its cache is
empty.
"""

import json
import time
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path

from bilberryspring.standin.engine_cache import CacheEvent, CacheEventKind

__all__ = [
    "CacheChange",
    "CacheChangeKind",
    "CacheJournal",
    "find_cache_journal",
    "read_cache_journal",
]


class CacheChangeKind(Enum):
    """Kind of a journal entry.

    ``OPENED`` marks the start of the engine with an empty cache; ``STORED`` and
    ``EVICTED`` are changes of one prefix.
    """

    OPENED = "opened"
    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Journal entry of one change to the cache.

    :param at_s: time of the change in seconds, on the machine's monotonic clock.
    :param kind: kind of the change.
    :param prefix_digest: digest of the prefix; empty for ``OPENED``.
    :param tokens: length of the whole prefix in tokens; zero for ``OPENED``.
    """

    at_s: float
    kind: CacheChangeKind
    prefix_digest: str = ""
    tokens: int = 0


def find_cache_journal(journal_path: str) -> str:
    """Return the path of the cache journal that belongs to a run journal.

    :param journal_path: path of the run journal; empty if none is kept.
    :returns: path of the cache journal; empty if ``journal_path`` is empty.
    """
    return f"{journal_path}.cache" if journal_path else ""


class CacheJournal:
    """Appends each change of the cache to a file.

    :param path: path of the file; empty to write nothing.
    """

    def __init__(self, path: str):
        self._file = Path(path).open("a", encoding="utf-8") if path else None
        self._write(CacheChange(time.monotonic(), CacheChangeKind.OPENED))

    def record(self, event: CacheEvent) -> None:
        """Append a change, including one whose event is never published.

        :param event: event of the change.
        """
        is_stored = event.kind is CacheEventKind.STORED
        kind = CacheChangeKind.STORED if is_stored else CacheChangeKind.EVICTED
        self._write(
            CacheChange(time.monotonic(), kind, event.prefix_digest, event.tokens)
        )

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _write(self, change: CacheChange) -> None:
        if self._file is not None:
            fields = asdict(change) | {"kind": change.kind.value}
            self._file.write(json.dumps(fields) + "\n")
            self._file.flush()


def read_cache_journal(path: str) -> list[CacheChange]:
    """Return the changes in a journal file, in the order in which they were written.

    :param path: path of the file.
    :returns: the changes without an incomplete last line; empty if there is no file.
    """
    file = Path(path)
    text = file.read_text(encoding="utf-8") if file.exists() else ""
    changes = []
    for line in text[: text.rfind("\n") + 1].splitlines():
        fields = json.loads(line)
        kind = CacheChangeKind(fields["kind"])
        changes.append(CacheChange(**fields | {"kind": kind}))
    return changes
