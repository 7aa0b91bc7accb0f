"""Which contents of requests are quarantined because backend servers crash on them.

Load pattern: one part of a prompt crashes each server that begins to answer a request
with it. The requests share their other parts and their caller with sound ones, and each
crash ends many sound requests. So a crash is evidence against each content that was in
progress there without an answer, an answer is evidence for each content of its request,
and a content to which all crashes lead explains them for the others.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple, NewType

__all__ = [
    "Content",
    "ContentHash",
    "CrashHash",
    "Evidence",
    "Quarantine",
    "compute_test_delay",
    "find_quarantined",
]

ContentHash = NewType("ContentHash", int)
CrashHash = NewType("CrashHash", int)

# Crashes that quarantine a content which was never answered.
CRASHES_OF_UNPROVEN = 2
# A content that was answered before is quarantined only if the answers end and the
# crashes go on for longer than reports of answers need to reach all routers.
CRASHES_OF_PROVEN = 4
PROVEN_OBSERVATION_S = 2.0
# After this time without a crash, one request may test whether the content still
# crashes servers. Each further crash makes the time longer by the factor.
TEST_DELAY_S = 15.0
TEST_DELAY_FACTOR = 4.0
MAX_TEST_DELAY_S = 600.0
# Each router draws a delay that is up to this share longer.
TEST_SPREAD = 0.5
# If the same crashes lead to several prompt parts, a test soon tells them apart.
AMBIGUOUS_TEST_DELAY_S = 1.0


class Content(NamedTuple):
    """Something that requests contain and that may crash servers.

    :param content_hash: hash of a prompt part, or of all that a request contains.
    :param is_request: whether it is the content of a whole request.
    """

    content_hash: ContentHash
    is_request: bool


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about a content; times are monotonic.

    :param crashed_s: times of the crashes since its last answer, by crash.
    :param is_proven: whether a request with it was ever answered.
    :param answered_crashes: crashes before its last answer. These don't count against
        it, but it explains them if it is quarantined.
    """

    crashed_s: Mapping[CrashHash, float]
    is_proven: bool = False
    answered_crashes: Collection[CrashHash] = ()


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A quarantined content.

    :param crash_count: number of crashes that led to it.
    :param last_crash_s: monotonic time of the last of these.
    :param is_ambiguous: whether the same crashes lead to another prompt part.
    :param untested_crash_count: number of crashes that preceded the quarantine; each
        further one is a test that failed.
    """

    crash_count: int
    last_crash_s: float
    is_ambiguous: bool
    untested_crash_count: int = CRASHES_OF_UNPROVEN


def find_quarantined(
    evidence: Mapping[Content, Evidence], now_s: float
) -> dict[Content, Quarantine]:
    """Return the contents that requests must not contain.

    The content with most crashes explains these. The others need further crashes.

    :param evidence: evidence by content.
    :param now_s: monotonic time.

    >>> deadly, shared = Content(1, False), Content(2, False)
    >>> known = {
    ...     deadly: Evidence({10: 0.1, 11: 0.4, 12: 0.9}),
    ...     shared: Evidence({10: 0.1, 12: 0.9}),
    ... }
    >>> list(find_quarantined(known, 1.0)) == [deadly]
    True
    """
    unexplained = {
        content: set(each.crashed_s)
        for content, each in evidence.items()
        if each.crashed_s
    }
    quarantined: dict[Content, Quarantine] = {}
    while True:
        ranks = {
            content: (len(crashes), not evidence[content].is_proven)
            for content, crashes in unexplained.items()
            if _is_sufficient(evidence[content], len(crashes), now_s)
        }
        if not ranks:
            return quarantined
        highest = max(ranks.values())
        culprits = [content for content, rank in ranks.items() if rank == highest]
        is_ambiguous = sum(not content.is_request for content in culprits) > 1
        explained: set[CrashHash] = set()
        for content in culprits:
            crashed_s = evidence[content].crashed_s
            quarantined[content] = Quarantine(
                len(crashed_s),
                max(crashed_s.values()),
                is_ambiguous,
                _count_untested(evidence[content]),
            )
            explained |= unexplained.pop(content)
            explained.update(crashed_s, evidence[content].answered_crashes)
        for crashes in unexplained.values():
            crashes -= explained


def _is_sufficient(evidence: Evidence, crash_count: int, now_s: float) -> bool:
    if not evidence.is_proven:
        return crash_count >= CRASHES_OF_UNPROVEN
    observed_s = now_s - min(evidence.crashed_s.values())
    return crash_count >= CRASHES_OF_PROVEN and observed_s >= PROVEN_OBSERVATION_S


def _count_untested(evidence: Evidence) -> int:
    if not evidence.is_proven:
        return CRASHES_OF_UNPROVEN
    observed_s = min(evidence.crashed_s.values()) + PROVEN_OBSERVATION_S
    early_count = sum(crash_s < observed_s for crash_s in evidence.crashed_s.values())
    return max(CRASHES_OF_PROVEN, early_count)


def compute_test_delay(
    quarantine: Quarantine, draw: float = 0.0, *, tests_others: bool = False
) -> float:
    """Return how long after its last crash one request may test a content.

    Routers draw different delays, so that few of them test it before the result of the
    first test is known to all.

    :param quarantine: quarantine of the content.
    :param draw: number that the router drew for this quarantine, from zero to one.
    :param tests_others: whether the request contains other quarantined parts, so that
        its result does not tell them apart.
    :returns: seconds.

    >>> compute_test_delay(Quarantine(2, 10.0, is_ambiguous=True))
    1.0
    >>> compute_test_delay(Quarantine(3, 10.0, is_ambiguous=False), draw=1.0)
    90.0
    """
    further_crashes = quarantine.crash_count - quarantine.untested_crash_count
    if quarantine.is_ambiguous and further_crashes <= 0 and not tests_others:
        delay_s = AMBIGUOUS_TEST_DELAY_S
    else:
        delay_s = TEST_DELAY_S * TEST_DELAY_FACTOR**further_crashes
    return min(delay_s, MAX_TEST_DELAY_S) * (1 + TEST_SPREAD * draw)
