"""Contents of requests that may crash backend servers, as one router knows them.

A crash is recorded against each content of a request that the server was running and
had not begun to answer; an answer clears the contents of its request. Routers report
both to each other, and each derives the same quarantines from them.
"""

import math
import random
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from bilberryspring.capability.routing import IncomingRequest
from bilberryspring.connection.load_messages import hash_name
from bilberryspring.connection.router_reports import (
    MAX_CRASHES_PER_SUSPECT,
    SuspectReport,
)
from bilberryspring.policy.quarantine import (
    CRASHES_OF_UNPROVEN,
    Content,
    ContentHash,
    CrashHash,
    Evidence,
    Quarantine,
    compute_test_delay,
    find_quarantined,
)
from bilberryspring.process.logs import log_event
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["SuspectContents", "hash_crash", "list_contents", "make_suspect_contents"]

# Evidence is forgotten this long after the last change of it.
RECORD_TTL_S = 600.0
MAX_RECORDS = 1024
# A part that crashes many servers before it is found explains their other contents.
MAX_CRASHES_PER_RECORD = 64
# Prompt parts that were answered, at about 150 bytes each.
MAX_ANSWERED_PARTS = 16_384
# Changed evidence is reported for this long, so that every router receives it from
# several others.
NEWS_LIFETIME_S = 3.0
# Evidence that depends on time is evaluated again after this time.
MAX_EVALUATION_AGE_S = 0.5
# Callers return this long after the last router may have tested their content, spread
# over as long again.
RETRY_MARGIN_S = 1.0


@dataclass(slots=True)
class _Record:
    crashed_s: dict[CrashHash, float] = field(default_factory=dict)
    answered_s: float = -math.inf
    changed_s: float = 0.0
    tested_s: float = -math.inf
    requested_s: float = -math.inf
    test_draw: float = 0.0

    def list_unanswered(self) -> dict[CrashHash, float]:
        """Return the times of the crashes since the last answer."""
        return {
            crash: crashed_s
            for crash, crashed_s in self.crashed_s.items()
            if crashed_s > self.answered_s
        }


class SuspectContents:
    """Evidence on contents that may crash servers, and the quarantines from it.

    :param read_clock: monotonic clock, in seconds.
    :ivar news_callbacks: called when evidence changes that other routers need.
    """

    def __init__(self, read_clock: Callable[[], float] = time.monotonic):
        self._read_clock = read_clock
        self._records: OrderedDict[Content, _Record] = OrderedDict()
        self._answered_parts_s: OrderedDict[ContentHash, float] = OrderedDict()
        self._quarantined: dict[Content, Quarantine] = {}
        self._evaluated_s = -math.inf
        self._is_changed = False
        self.news_callbacks: list[Callable[[], None]] = []

    def find_refusal(self, contents: Sequence[Content]) -> Failure | None:
        """Return why a request must not be sent to a server.

        :param contents: contents of the request.
        :returns: a ``REQUEST_QUARANTINED`` failure, ``None`` if it may be sent.

        >>> suspects, roll = make_suspect_contents(), [Content(7, False)]
        >>> suspects.record_crash(CrashHash(1), roll)
        >>> suspects.find_refusal(roll) is None
        True
        >>> suspects.record_crash(CrashHash(2), roll)
        >>> suspects.find_refusal(roll).kind.value
        'request_quarantined'
        >>> suspects.record_answer(roll)
        >>> suspects.find_refusal(roll) is None
        True
        """
        if not self._records:
            return None
        now_s = self._read_clock()
        self._evaluate(now_s)
        quarantined, tests_others = self._list_quarantined(contents)
        for content in quarantined:
            quarantine, record = self._quarantined[content], self._records[content]
            shortest_s, drawn_s, longest_s = (
                compute_test_delay(quarantine, draw, tests_others=tests_others)
                for draw in (0.0, record.test_draw, 1.0)
            )
            crashed_s, tested_s = quarantine.last_crash_s, record.tested_s
            if now_s < crashed_s + drawn_s or now_s < tested_s + shortest_s:
                due_s = max(crashed_s, tested_s) + longest_s
                return _make_refusal(content, quarantine, due_s - now_s)
        return None

    def admit(self, contents: Sequence[Content]) -> Failure | None:
        """Decide whether a request is sent to a server now.

        A request that is sent with a quarantined content tests it. This router sends no
        other one with it before the result can be known.

        :param contents: contents of the request.
        :returns: a ``REQUEST_QUARANTINED`` failure, ``None`` if the request is sent.
        """
        refusal = self.find_refusal(contents)
        if refusal is not None:
            return refusal
        for content in self._list_quarantined(contents)[0]:
            self._records[content].tested_s = self._read_clock()
            log_event(
                "content_tested",
                content=_format_hash(content),
                crashes=self._quarantined[content].crash_count,
            )
        return None

    def _list_quarantined(
        self, contents: Iterable[Content]
    ) -> tuple[list[Content], bool]:
        """Return the quarantined contents, and whether several are prompt parts."""
        if not self._quarantined:
            return [], False
        found = [each for each in contents if each in self._quarantined]
        return found, sum(not each.is_request for each in found) > 1

    def is_unproven_suspect(self, contents: Iterable[Content]) -> bool:
        """Return whether a crash led to a prompt part that was never answered.

        :param contents: contents of a request.
        """
        return any(
            not content.is_request
            and content in self._records
            and bool(self._records[content].list_unanswered())
            and not self._is_proven(content)
            for content in contents
        )

    def count_quarantined(self) -> int:
        """Return the number of quarantined contents."""
        self._evaluate(self._read_clock())
        return len(self._quarantined)

    def record_crash(self, crash: CrashHash, contents: Iterable[Content]) -> None:
        """Record that a server crashed before it answered a request.

        :param crash: identifies the crash, of which several requests may be reported.
        :param contents: contents of the request.
        """
        now_s = self._read_clock()
        if any([self._add_crash(content, crash, now_s) for content in contents]):
            self._announce()

    def record_answer(self, contents: Iterable[Content]) -> None:
        """Record that a server answered a request.

        :param contents: contents of the request.
        """
        now_s = self._read_clock()
        is_news = False
        for content in contents:
            if not content.is_request:
                self._answered_parts_s[content.content_hash] = now_s
                self._answered_parts_s.move_to_end(content.content_hash)
            if content in self._records:
                is_news |= self._add_answer(content, now_s)
        while len(self._answered_parts_s) > MAX_ANSWERED_PARTS:
            self._answered_parts_s.popitem(last=False)
        if is_news:
            self._announce()

    def merge(self, reports: Iterable[SuspectReport]) -> None:
        """Add what another router reports.

        :param reports: its evidence on contents.
        """
        now_s = self._read_clock()
        is_news = False
        for report in reports:
            content = Content(ContentHash(report.content_hash), report.is_request)
            for crash, age_s in report.crash_ages_s:
                is_news |= self._add_crash(content, CrashHash(crash), now_s - age_s)
            if content not in self._records:
                continue
            if report.answer_age_s is not None:
                is_news |= self._add_answer(content, now_s - report.answer_age_s)
            elif self._is_proven(content):
                # The sender has to learn that the content was answered.
                record = self._records[content]
                is_news |= now_s - record.requested_s > NEWS_LIFETIME_S
                record.requested_s = now_s
        if is_news:
            self._announce()

    def list_reports(self, count: int) -> tuple[SuspectReport, ...]:
        """Return the evidence that other routers need most.

        Evidence on prompt parts that were never answered comes first, with answers
        that the others asked for; quarantines follow for routers that started later.

        :param count: maximum number of contents.
        """
        now_s = self._read_clock()
        self._evaluate(now_s)
        news = [
            content
            for content, record in self._records.items()
            if now_s - max(record.changed_s, record.requested_s) < NEWS_LIFETIME_S
        ]
        news.sort(key=lambda each: self._make_news_key(each, now_s))
        kept = list(self._quarantined.keys() - set(news))
        # A report may have room for some of them only.
        random.shuffle(kept)
        kept.sort(key=lambda each: each.is_request)
        return tuple(
            self._make_report(content, now_s) for content in [*news, *kept][:count]
        )

    def _make_news_key(
        self, content: Content, now_s: float
    ) -> tuple[bool, bool, int, float]:
        record = self._records[content]
        unanswered = len(record.list_unanswered())
        is_needed = (
            not self._is_proven(content)
            or unanswered >= CRASHES_OF_UNPROVEN
            or content in self._quarantined
            or now_s - record.requested_s < NEWS_LIFETIME_S
        )
        return not is_needed, content.is_request, -unanswered, -record.changed_s

    def _make_report(self, content: Content, now_s: float) -> SuspectReport:
        record = self._records[content]
        crashes = sorted(record.crashed_s.items(), key=lambda each: -each[1])
        answered_s = max(
            record.answered_s,
            self._answered_parts_s.get(content.content_hash, -math.inf),
        )
        return SuspectReport(
            content.content_hash,
            content.is_request,
            tuple(
                (crash, max(now_s - crashed_s, 0.0))
                for crash, crashed_s in crashes[:MAX_CRASHES_PER_SUSPECT]
            ),
            None if answered_s == -math.inf else max(now_s - answered_s, 0.0),
        )

    def _add_crash(self, content: Content, crash: CrashHash, crashed_s: float) -> bool:
        """Add a crash to the evidence; return whether the others need it at once."""
        if self._read_clock() - crashed_s >= RECORD_TTL_S:
            # Reports between routers must not keep forgotten evidence alive.
            return False
        record = self._records.get(content)
        if record is None:
            self._make_room()
            record = self._records[content] = _Record()
            if not content.is_request:
                record.answered_s = self._answered_parts_s.get(
                    content.content_hash, -math.inf
                )
        if crash in record.crashed_s:
            # Delays of reports make a crash appear later than it was.
            record.crashed_s[crash] = min(record.crashed_s[crash], crashed_s)
            return False
        if len(record.crashed_s) >= MAX_CRASHES_PER_RECORD:
            record.crashed_s = record.list_unanswered()
        if len(record.crashed_s) >= MAX_CRASHES_PER_RECORD:
            # The first crashes are kept, since these led to other contents as well.
            return False
        record.crashed_s[crash] = crashed_s
        self._record_change(content, record)
        return not self._is_proven(content)

    def _add_answer(self, content: Content, answered_s: float) -> bool:
        """Add an answer to the evidence; return whether the others need it at once."""
        record = self._records[content]
        suspected = record.list_unanswered()
        was_proven = self._is_proven(content)
        record.answered_s = max(record.answered_s, answered_s)
        if was_proven and len(record.list_unanswered()) == len(suspected):
            return False
        self._record_change(content, record)
        return not was_proven or content in self._quarantined

    def _record_change(self, content: Content, record: _Record) -> None:
        record.changed_s = self._read_clock()
        record.test_draw = random.random()
        self._records.move_to_end(content)
        self._is_changed = True

    def _make_room(self) -> None:
        """Forget the oldest evidence, of a quarantined content if there is no other."""
        if len(self._records) < MAX_RECORDS:
            return
        oldest = next(
            (each for each in self._records if each not in self._quarantined),
            next(iter(self._records)),
        )
        del self._records[oldest]
        self._quarantined.pop(oldest, None)

    def _announce(self) -> None:
        for callback in self.news_callbacks:
            callback()

    def _is_proven(self, content: Content) -> bool:
        return self._records[content].answered_s > -math.inf

    def _make_evidence(self, content: Content) -> Evidence:
        record = self._records[content]
        unanswered = record.list_unanswered()
        answered_crashes = record.crashed_s.keys() - unanswered.keys()
        return Evidence(unanswered, self._is_proven(content), answered_crashes)

    def _evaluate(self, now_s: float) -> None:
        """Derive the quarantines from the evidence if either has changed."""
        is_current = now_s - self._evaluated_s < MAX_EVALUATION_AGE_S
        if is_current and not self._is_changed:
            return
        self._evaluated_s, self._is_changed = now_s, False
        while self._records:
            content, record = next(iter(self._records.items()))
            if now_s - record.changed_s < RECORD_TTL_S:
                break
            del self._records[content]
        previous = self._quarantined
        self._quarantined = find_quarantined(
            {content: self._make_evidence(content) for content in self._records},
            now_s,
        )
        for content in self._quarantined.keys() - previous.keys():
            log_event(
                "content_quarantined",
                level="WARNING",
                content=_format_hash(content),
                is_request=content.is_request,
                crashes=self._quarantined[content].crash_count,
                is_ambiguous=self._quarantined[content].is_ambiguous,
            )
        for content in previous.keys() - self._quarantined.keys():
            log_event("content_released", content=_format_hash(content))


def list_contents(request: IncomingRequest) -> tuple[Content, ...]:
    """Return the contents of a request that may crash servers.

    :param request: a request. The last part of its prompt belongs to it alone, so the
        content of the whole request stands for that part.
    :returns: the content of the whole request, and the shared parts of its prompt.
    """
    digest = xxhash.xxh3_64(
        f"{request.workspace} {request.method} {request.target}\n".encode()
    )
    digest.update(request.body)
    contents = [Content(ContentHash(digest.intdigest()), True)]
    parts = request.prompt.parts[:-1] if request.prompt is not None else ()
    contents += [
        Content(ContentHash(hash_name(str(part.part_id))), False) for part in parts
    ]
    return tuple(contents)


def hash_crash(server_id: str, started_at_ms: int) -> CrashHash:
    """Return the hash that identifies the crash of a server.

    :param server_id: id of the server.
    :param started_at_ms: Unix time of the start before the crash, in milliseconds.
    """
    return CrashHash(xxhash.xxh32_intdigest(f"{server_id}/{started_at_ms}".encode()))


def _format_hash(content: Content) -> str:
    return f"{content.content_hash:016x}"


def _make_refusal(content: Content, quarantine: Quarantine, due_in_s: float) -> Failure:
    what = "a request" if content.is_request else "a prompt part"
    margin_s = RETRY_MARGIN_S * random.uniform(1.0, 2.0)
    return make_failure(
        ErrorKind.REQUEST_QUARANTINED,
        f"{what} with content {_format_hash(content)} led to"
        f" {quarantine.crash_count} crashes",
        retry_after_s=max(due_in_s, 0.0) + margin_s,
    )


def make_suspect_contents(
    read_clock: Callable[[], float] = time.monotonic,
) -> SuspectContents:
    """Return a record without evidence.

    :param read_clock: monotonic clock, in seconds.
    """
    return SuspectContents(read_clock)
