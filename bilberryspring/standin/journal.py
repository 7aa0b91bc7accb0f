"""Journal of the runs of a stand-in, against which tests check the system's results.

Times are read from the monotonic clock, which all processes of one machine share, so
that entries of different stand-ins and callers can be compared.
"""

import json
from dataclasses import asdict
from pathlib import Path
from typing import Generic, NamedTuple, Protocol, TypeVar

__all__ = ["JournalEntry", "Journal", "InflightSample", "InflightHistory"]

MAX_SAMPLES = 500_000


class JournalEntry(Protocol):
    """Dataclass that describes one run.

    :param number: number of the run, from one.
    """

    number: int


EntryT = TypeVar("EntryT", bound=JournalEntry)


class Journal(Generic[EntryT]):
    """Entries of runs by number, optionally in a file that survives a crash.

    :param entry_type: dataclass of the entries.
    :param path: path of a file of JSON lines, whose entries are read at the start;
        empty for no file.
    :ivar entries: latest entry of each run, by number.
    """

    def __init__(self, entry_type: type[EntryT], path: str = ""):
        self.entries: dict[int, EntryT] = {}
        self._path = Path(path) if path else None
        self._file = None
        if self._path is not None and self._path.exists():
            for line in self._path.read_text(encoding="utf-8").splitlines():
                entry = entry_type(**json.loads(line))
                self.entries[entry.number] = entry

    @property
    def next_number(self) -> int:
        """Number of the next run."""
        return len(self.entries) + 1

    def record(self, entry: EntryT) -> None:
        """Record the current state of a run.

        :param entry: entry of the run; replaces an earlier one of the same number.
        """
        self.entries[entry.number] = entry
        if self._path is None:
            return
        if self._file is None:
            self._file = self._path.open("a", encoding="utf-8")
        self._file.write(json.dumps(asdict(entry)) + "\n")
        self._file.flush()

    def export(self) -> list[dict]:
        """Return the latest entry of each run as a dict, in order of first record."""
        return [asdict(entry) for entry in self.entries.values()]

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


class InflightSample(NamedTuple):
    """Load of a backend server after a change.

    :param at_s: time of the change, on the monotonic clock.
    :param running: number of running requests.
    :param queued: number of requests in the backend server's queue.
    :param unfinished: tokens left to compute in a model engine, or unfinished requests
        of a plain service.
    """

    at_s: float
    running: int
    queued: int
    unfinished: int


class InflightHistory:
    """Load samples, one per change, that can be read as of an earlier time."""

    def __init__(self):
        self.samples: list[InflightSample] = []

    def add(self, sample: InflightSample) -> None:
        """Append a sample; above ``MAX_SAMPLES``, drop the oldest ones.

        :param sample: the sample; not older than those before.
        """
        self.samples.append(sample)
        if len(self.samples) > MAX_SAMPLES:
            del self.samples[: MAX_SAMPLES // 2]

    def read_at(self, at_s: float) -> InflightSample:
        """Return the last sample taken at or before a time.

        :param at_s: time on the monotonic clock.
        :returns: the sample; one without load if there is none that early.

        >>> history = InflightHistory()
        >>> history.add(InflightSample(1.0, 1, 0, 50))
        >>> history.add(InflightSample(2.0, 2, 0, 90))
        >>> history.read_at(1.5).unfinished
        50
        """
        for sample in reversed(self.samples):
            if sample.at_s <= at_s:
                return sample
        return InflightSample(at_s, 0, 0, 0)
