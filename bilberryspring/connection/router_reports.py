"""Messages between routers that call backend servers, and their Cap'n Proto codec."""

import zlib
from dataclasses import dataclass
from pathlib import Path

import capnp

from bilberryspring.connection.load_messages import NameHash
from bilberryspring.identifiers import InstanceId
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "RouterLoad",
    "RouterReport",
    "Snapshot",
    "SnapshotEntry",
    "decode_report",
    "decode_snapshot",
    "encode_report",
    "encode_snapshot",
]

# One datagram that no link has to split.
MAX_REPORT_BYTES = 1400
MAX_LOADS = 32
MAX_CRASHES = 3
MAX_CRASH_IDS = 2
MAX_SNAPSHOT_BYTES = 8_000_000
# Entries resemble each other: the lowest level leaves about a fifth of their bytes.
SNAPSHOT_COMPRESSION = 1

_schema = capnp.load(str(Path(__file__).with_name("router_reports.capnp")))


@dataclass(frozen=True, slots=True)
class RouterLoad:
    """What one router has at one backend server.

    :param prompt_tokens: tokens that the server is yet to read.
    :param held_tokens: tokens that the requests take in its memory.
    :param is_suspected: the router avoids the server.
    """

    server: NameHash
    requests: int
    prompt_tokens: int
    held_tokens: int
    is_suspected: bool = False


@dataclass(frozen=True, slots=True)
class RouterReport:
    """State of one router.

    :param started_at_ms: Unix time of its start; a later start goes before.
    :param sequence: counts its reports.
    :param config_version: version in force there, -1 for none.
    :param peers: routers that it knows, itself included.
    :param servers_digest: digest of what it knows of the servers.
    :param servers_age_s: time since the store confirmed that, negative if it never did.
    :param crashes: digests of contents that crashed servers, and ids of the crashes.
    :param has_fast_link: others may ask it for more than reports.
    """

    sender: InstanceId
    started_at_ms: int
    sequence: int
    config_version: int
    peers: int
    loads: tuple[RouterLoad, ...]
    servers_digest: int = 0
    servers_age_s: float = -1.0
    crashes: tuple[tuple[str, frozenset[str]], ...] = ()
    has_fast_link: bool = True


@dataclass(frozen=True, slots=True)
class SnapshotEntry:
    """One entry of the store as a router last saw it."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration and the servers that a router knows.

    :param servers_age_s: time since the store confirmed the servers, negative if it
        never did.
    """

    entries: tuple[SnapshotEntry, ...]
    servers_age_s: float


def encode_report(report: RouterReport) -> bytes:
    """Encode a report; loads beyond the bound of a datagram are left out.

    :param report: the report.
    """
    message = _schema.RouterReport.new_message(
        sender=report.sender,
        startedAtMs=report.started_at_ms,
        sequence=report.sequence,
        configVersion=report.config_version,
        peers=min(report.peers, 0xFFFF),
        crashes=[
            {"digest": digest, "crashIds": sorted(crash_ids)[:MAX_CRASH_IDS]}
            for digest, crash_ids in report.crashes[:MAX_CRASHES]
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
            for load in report.loads[:MAX_LOADS]
        ],
    )
    return message.to_bytes_packed()


def decode_report(data: bytes) -> RouterReport | Failure:
    """Decode a report.

    :param data: one datagram.
    """
    try:
        message = _schema.RouterReport.from_bytes_packed(data)
        return RouterReport(
            sender=InstanceId(message.sender),
            started_at_ms=message.startedAtMs,
            sequence=message.sequence,
            config_version=message.configVersion,
            peers=message.peers,
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
            crashes=tuple(
                (each.digest, frozenset(each.crashIds)) for each in message.crashes
            ),
            has_fast_link=message.hasFastLink,
            servers_digest=message.serversDigest,
            servers_age_s=message.serversAgeMs / 1000,
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"no report: {error}")


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot.

    :param snapshot: the snapshot.
    """
    message = _schema.Snapshot.new_message(
        serversAgeMs=round(snapshot.servers_age_s * 1000),
        entries=[
            {"key": entry.key, "value": entry.value, "revision": entry.revision}
            for entry in snapshot.entries
        ],
    )
    return zlib.compress(message.to_bytes(), SNAPSHOT_COMPRESSION)


def decode_snapshot(data: bytes) -> Snapshot | Failure:
    """Decode a snapshot.

    :param data: a whole message.
    """
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_SNAPSHOT_BYTES)
        with _schema.Snapshot.from_bytes(unpacked) as message:
            return Snapshot(
                tuple(
                    SnapshotEntry(entry.key, bytes(entry.value), entry.revision)
                    for entry in message.entries
                ),
                message.serversAgeMs / 1000,
            )
    except (zlib.error, capnp.KjException, ValueError) as error:
        return make_failure(ErrorKind.MALFORMED_REQUEST, f"no snapshot: {error}")
