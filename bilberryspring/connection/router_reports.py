"""Messages between routers that call backend servers directly, and their codec.

Routers exchange load reports as datagrams, and snapshots of what the metadata store
contains over connections. Both are Cap'n Proto messages.
"""

import math
import zlib
from dataclasses import dataclass
from pathlib import Path

import capnp

from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.cached_part_messages import (
    CachedPartReport,
    decode_cached_part,
    encode_cached_part,
)
from bilberryspring.connection.cold_messages import (
    ColdReport,
    decode_cold_report,
    encode_cold_report,
)
from bilberryspring.connection.evacuation_messages import (
    EvacuationReport,
    decode_evacuation_report,
    encode_evacuation_report,
)
from bilberryspring.connection.limit_messages import (
    LimitReport,
    decode_limit_report,
    encode_limit_report,
)
from bilberryspring.connection.load_messages import NameHash
from bilberryspring.identifiers import InstanceId, StoreEpoch
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "LeavingReport",
    "RouterLoad",
    "RouterReport",
    "ServerStatement",
    "StoreSnapshot",
    "SnapshotEntry",
    "SuspectReport",
    "decode_report",
    "decode_snapshot",
    "encode_report",
    "encode_snapshot",
]

# Fits into one datagram that the network does not fragment.
MAX_REPORT_BYTES = 1400
MAX_LOADS = 32
MAX_STATEMENTS = 12
MAX_SUSPECTS = 6
MAX_LEAVINGS = 4
MAX_LIMITS = 8
MAX_EVACUATIONS = 8
# An entry of an evacuation is about as long as this many entries of loads.
LOADS_PER_EVACUATION = 2
MAX_COLD_SERVERS = 8
MAX_CACHED_PARTS = 16
MAX_CRASHES_PER_SUSPECT = 8
MAX_SNAPSHOT_BYTES = 8_000_000
# Entries are similar to each other, so that the lowest compression level already
# reduces a snapshot to about a fifth of its size.
SNAPSHOT_COMPRESSION = 1

_schema = capnp.load(str(Path(__file__).with_name("router_reports.capnp")))


@dataclass(frozen=True, slots=True)
class RouterLoad:
    """Load that one router puts on one backend server.

    :param server: hash of the server's id.
    :param requests: number of requests in progress.
    :param prompt_tokens: number of prompt tokens that the server has not processed yet.
    :param held_tokens: number of tokens that the requests occupy in the server's
        memory.
    :param is_suspected: whether the router suspects a failure and avoids the server.
    """

    server: NameHash
    requests: int
    prompt_tokens: int
    held_tokens: int
    is_suspected: bool = False


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """Load that a backend server stated with a response, passed on among routers.

    :param server: hash of the server's id.
    :param requests: requests of all routers that it was running or had queued.
    :param age_s: seconds since the statement, when the report was sent.
    """

    server: NameHash
    requests: int
    age_s: float


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """Evidence on a content that may crash backend servers.

    :param content_hash: hash of a prompt part, or of all that a request contains.
    :param is_request: whether it is the content of a whole request.
    :param crash_ages_s: for each crash that led to the content, its hash and the
        seconds since then, when the report was sent.
    :param answer_age_s: seconds since the latest response to a request with the
        content; ``None`` if none is known.
    """

    content_hash: int
    is_request: bool
    crash_ages_s: tuple[tuple[int, float], ...]
    answer_age_s: float | None


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """Leaving of a backend server, passed on among routers.

    :param server: hash of the server's id.
    :param started_at_ms: start of the server that left, as Unix time in milliseconds.
    :param report_number: number of its last report that was read; zero if unknown.
    :param epoch: history of the store in which it left; ``None`` if unknown.
    :param age_s: seconds since a router learnt it, when the report was sent.
    """

    server: NameHash
    started_at_ms: int
    report_number: int
    epoch: StoreEpoch | None
    age_s: float


@dataclass(frozen=True, slots=True)
class RouterReport:
    """State of one router.

    :param sender: instance id of the router.
    :param started_at_ms: Unix time in milliseconds at which the router started; reports
        of a later start supersede those of an earlier one.
    :param sequence: number of the report, counted since the start.
    :param config_version: active configuration version, -1 for none.
    :param router_count: number of routers in the sender's view, itself included.
    :param loads: load of the sender on each backend server.
    :param servers_digest: digest of the sender's list of backend servers.
    :param servers_age_s: seconds since the store confirmed this list, negative if it
        never did.
    :param suspects: evidence on contents that may crash backend servers.
    :param has_fast_link: whether the sender's network link is fast enough for more than
        reports, such as requests for snapshots.
    :param statements: latest statements of backend servers on their own load.
    :param store_epoch: history of the store in which it confirmed this list; ``None``
        if that is not known.
    :param leavings: servers that left before the store was restored.
    :param limits: statements of servers on the rate of requests that they take.
    :param evacuations: availability zones that the operator evacuated, or took back.
    :param cold_servers: observations of servers that are cold, or lately were.
    :param cached_parts: parts of prompts that engines hold.
    :param config_age_s: seconds since the store confirmed that no configuration version
        is newer than the active one, negative if it never did.
    :param evacuations_age_s: seconds since the store confirmed the evacuations that are
        in force at the sender, negative if it never did.
    :param evacuations_digest: digest of these evacuations, zero if there are none.
    :param router_count_age_s: seconds since some router counted ``router_count`` by the
        reports that it got itself, negative if that is not known.
    """

    sender: InstanceId
    started_at_ms: int
    sequence: int
    config_version: int
    router_count: int
    loads: tuple[RouterLoad, ...]
    servers_digest: int = 0
    servers_age_s: float = -1.0
    suspects: tuple[SuspectReport, ...] = ()
    has_fast_link: bool = True
    statements: tuple[ServerStatement, ...] = ()
    store_epoch: StoreEpoch | None = None
    leavings: tuple[LeavingReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    evacuations: tuple[EvacuationReport, ...] = ()
    cold_servers: tuple[ColdReport, ...] = ()
    cached_parts: tuple[CachedPartReport, ...] = ()
    config_age_s: float = -1.0
    evacuations_age_s: float = -1.0
    evacuations_digest: int = 0
    router_count_age_s: float = -1.0


@dataclass(frozen=True, slots=True)
class SnapshotEntry:
    """Entry of the store as last read by a router.

    :param key: key of the entry.
    :param value: content of the entry.
    :param position: position of the entry's last change in the store's history.
    """

    key: str
    value: bytes
    position: StorePosition


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Store entries of the configuration and of the backend servers at one router.

    :param entries: entries of the store.
    :param servers_age_s: seconds since the store confirmed the list of backend servers,
        negative if it never did.
    :param store_epoch: history of the store in which it did; ``None`` if that is not
        known.
    """

    entries: tuple[SnapshotEntry, ...]
    servers_age_s: float
    store_epoch: StoreEpoch | None = None


def encode_report(report: RouterReport) -> bytes:
    """Encode a report so that it fits into one datagram.

    :param report: report to encode; entries of its lists beyond the limits of this
        module are left out.
    :returns: packed Cap'n Proto bytes.
    """
    leavings, limits = report.leavings[:MAX_LEAVINGS], report.limits[:MAX_LIMITS]
    evacuations = report.evacuations[:MAX_EVACUATIONS]
    cold_servers = report.cold_servers[:MAX_COLD_SERVERS]
    load_count = MAX_LOADS - len(leavings) - len(limits)
    load_count -= LOADS_PER_EVACUATION * len(evacuations)
    # Two cold servers take the space of five loads.
    load_count -= math.ceil(2.5 * len(cold_servers))
    # An entry of a part is about as long as one of a load.
    cached_parts = report.cached_parts[:MAX_CACHED_PARTS]
    load_count -= len(cached_parts)
    message = _schema.RouterReport.new_message(
        sender=report.sender,
        startedAtMs=report.started_at_ms,
        sequence=report.sequence,
        configVersion=report.config_version,
        peers=min(report.router_count, 0xFFFF),
        suspects=[
            _encode_suspect(suspect) for suspect in report.suspects[:MAX_SUSPECTS]
        ],
        hasFastLink=report.has_fast_link,
        serversDigest=report.servers_digest,
        serversAgeMs=round(report.servers_age_s * 1000),
        loads=[
            {
                "server": load.server,
                "requests": min(load.requests, 0xFFFF),
                "promptTokens": min(load.prompt_tokens, 0xFFFF_FFFF),
                "heldTokens": min(load.held_tokens, 0xFFFF_FFFF),
                "isSuspected": load.is_suspected,
            }
            for load in report.loads[: max(load_count, 0)]
        ],
        statements=[
            {
                "server": statement.server,
                "requests": min(statement.requests, 0xFFFF),
                "ageMs": min(round(statement.age_s * 1000), 0xFFFF),
            }
            for statement in report.statements[:MAX_STATEMENTS]
        ],
        nextStoreEpoch=_encode_epoch(report.store_epoch),
        leavings=[
            {
                "server": leaving.server,
                "startedAtMs": min(max(leaving.started_at_ms, 0), 2**64 - 1),
                "reportNumber": leaving.report_number,
                "nextStoreEpoch": _encode_epoch(leaving.epoch),
                "ageMs": min(round(leaving.age_s * 1000), 0xFFFF),
            }
            for leaving in leavings
        ],
        limits=[encode_limit_report(limit) for limit in limits],
        nextConfigAgeMs=_encode_next_age_ms(report.config_age_s),
        nextEvacuationsAgeMs=_encode_next_age_ms(report.evacuations_age_s),
        evacuationsDigest=report.evacuations_digest,
        nextPeersAgeMs=_encode_next_age_ms(report.router_count_age_s),
    )
    # A list without entries would still take some bytes of each report.
    if evacuations:
        message.evacuations = [encode_evacuation_report(each) for each in evacuations]
    if cold_servers:
        message.coldServers = [encode_cold_report(each) for each in cold_servers]
    if cached_parts:
        message.cachedParts = [encode_cached_part(each) for each in cached_parts]
    return message.to_bytes_packed()


def _encode_epoch(epoch: StoreEpoch | None) -> int:
    return 0 if epoch is None else epoch + 1


def _decode_epoch(next_epoch: int) -> StoreEpoch | None:
    return StoreEpoch(next_epoch - 1) if next_epoch else None


def _encode_suspect(suspect: SuspectReport) -> dict[str, object]:
    answer_age_ms = 0
    if suspect.answer_age_s is not None:
        answer_age_ms = 1 + _encode_age_ms(suspect.answer_age_s)
    return {
        "contentHash": suspect.content_hash,
        "isRequest": suspect.is_request,
        "crashes": [
            {"crashHash": crash, "ageMs": _encode_age_ms(age_s)}
            for crash, age_s in suspect.crash_ages_s[:MAX_CRASHES_PER_SUSPECT]
        ],
        "answerAgeMs": answer_age_ms,
    }


def _encode_next_age_ms(age_s: float) -> int:
    return 0 if age_s < 0 else 1 + _encode_age_ms(age_s)


def _decode_next_age_s(next_age_ms: int) -> float:
    return (next_age_ms - 1) / 1000 if next_age_ms else -1.0


def _encode_age_ms(age_s: float) -> int:
    return min(round(age_s * 1000), 0xFFFF_FFFE)


def _decode_suspect(entry) -> SuspectReport:
    return SuspectReport(
        content_hash=entry.contentHash,
        is_request=entry.isRequest,
        crash_ages_s=tuple(
            (crash.crashHash, crash.ageMs / 1000) for crash in entry.crashes
        ),
        answer_age_s=(entry.answerAgeMs - 1) / 1000 if entry.answerAgeMs else None,
    )


def decode_report(data: bytes) -> RouterReport | Failure:
    """Decode a report.

    A packed datagram can announce lists of many thousand entries in a few bytes, so
    their lengths are checked before an entry is read.

    :param data: content of one datagram.
    :returns: the report, or a ``MALFORMED_REQUEST`` failure.
    """
    try:
        message = _schema.RouterReport.from_bytes_packed(data)
        excess = _find_excess(message)
        if excess is not None:
            return make_failure(ErrorKind.MALFORMED_REQUEST, excess)
        return RouterReport(
            sender=InstanceId(message.sender),
            started_at_ms=message.startedAtMs,
            sequence=message.sequence,
            config_version=message.configVersion,
            router_count=message.peers,
            loads=tuple(
                RouterLoad(
                    NameHash(load.server),
                    load.requests,
                    load.promptTokens,
                    load.heldTokens,
                    load.isSuspected,
                )
                for load in message.loads
            ),
            suspects=tuple(_decode_suspect(entry) for entry in message.suspects),
            has_fast_link=message.hasFastLink,
            servers_digest=message.serversDigest,
            servers_age_s=message.serversAgeMs / 1000,
            statements=tuple(
                ServerStatement(
                    NameHash(statement.server),
                    statement.requests,
                    statement.ageMs / 1000,
                )
                for statement in message.statements
            ),
            store_epoch=_decode_epoch(message.nextStoreEpoch),
            leavings=tuple(
                LeavingReport(
                    NameHash(leaving.server),
                    leaving.startedAtMs,
                    leaving.reportNumber,
                    _decode_epoch(leaving.nextStoreEpoch),
                    leaving.ageMs / 1000,
                )
                for leaving in message.leavings
            ),
            limits=tuple(decode_limit_report(limit) for limit in message.limits),
            evacuations=tuple(
                decode_evacuation_report(each) for each in message.evacuations
            ),
            cold_servers=tuple(
                decode_cold_report(each) for each in message.coldServers
            ),
            cached_parts=tuple(
                decode_cached_part(each) for each in message.cachedParts
            ),
            config_age_s=_decode_next_age_s(message.nextConfigAgeMs),
            evacuations_age_s=_decode_next_age_s(message.nextEvacuationsAgeMs),
            evacuations_digest=message.evacuationsDigest,
            router_count_age_s=_decode_next_age_s(message.nextPeersAgeMs),
        )
    except MALFORMED_ERRORS as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"malformed report: {error}")


def _find_excess(message) -> str | None:
    """Return which list of a report is longer than allowed, ``None`` if none is."""
    lengths = [
        ("loads", len(message.loads), MAX_LOADS),
        ("statements", len(message.statements), MAX_STATEMENTS),
        ("suspects", len(message.suspects), MAX_SUSPECTS),
        ("leavings", len(message.leavings), MAX_LEAVINGS),
        ("limits", len(message.limits), MAX_LIMITS),
        ("evacuations", len(message.evacuations), MAX_EVACUATIONS),
        ("cold servers", len(message.coldServers), MAX_COLD_SERVERS),
        ("cached parts", len(message.cachedParts), MAX_CACHED_PARTS),
    ]
    if len(message.suspects) <= MAX_SUSPECTS:
        lengths += [
            ("crashes", len(entry.crashes), MAX_CRASHES_PER_SUSPECT)
            for entry in message.suspects
        ]
    for name, length, limit in lengths:
        if length > limit:
            return f"malformed report: {length} {name}, at most {limit} are allowed"
    return None


def encode_snapshot(snapshot: StoreSnapshot) -> bytes:
    """Encode and compress a snapshot.

    :param snapshot: snapshot to encode.
    :returns: compressed Cap'n Proto bytes.
    """
    message = _schema.Snapshot.new_message(
        serversAgeMs=round(snapshot.servers_age_s * 1000),
        entries=[
            {
                "key": entry.key,
                "value": entry.value,
                "revision": entry.position.revision,
                "storeEpoch": entry.position.epoch,
            }
            for entry in snapshot.entries
        ],
        nextStoreEpoch=_encode_epoch(snapshot.store_epoch),
    )
    return zlib.compress(message.to_bytes(), SNAPSHOT_COMPRESSION)


def decode_snapshot(data: bytes) -> StoreSnapshot | Failure:
    """Decompress and decode a snapshot.

    :param data: compressed Cap'n Proto bytes.
    :returns: the snapshot, or a ``MALFORMED_REQUEST`` failure.
    """
    try:
        decompressed = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        with _schema.Snapshot.from_bytes(decompressed) as message:
            return StoreSnapshot(
                tuple(
                    SnapshotEntry(
                        entry.key,
                        bytes(entry.value),
                        StorePosition(StoreEpoch(entry.storeEpoch), entry.revision),
                    )
                    for entry in message.entries
                ),
                message.serversAgeMs / 1000,
                _decode_epoch(message.nextStoreEpoch),
            )
    except MALFORMED_ERRORS as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"malformed snapshot: {error}")
