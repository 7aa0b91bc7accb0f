"""Messages between processes that announce and transfer configuration versions."""

import json
from dataclasses import dataclass
from typing import Any

from bilberryspring.identifiers import StoreHistoryId
from bilberryspring.malformed_input import MALFORMED_ERRORS, require_int, require_text
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "Announcement",
    "Update",
    "DeltaLog",
    "encode_announcement",
    "decode_announcement",
    "encode_version",
    "decode_version",
    "encode_update",
    "decode_update",
]

MAX_DELTA_LOG_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of the sender's active version to a peer.

    :param version: active version of the sender; zero for none.
    :param delta: encoded delta from the previous version; empty if it is not available.
    :param history_id: history of the key-value service that the sender knows; empty if
        it knows none.
    """

    version: int
    delta: bytes = b""
    history_id: StoreHistoryId = StoreHistoryId("")


@dataclass(frozen=True, slots=True)
class Update:
    """Content with which a process updates to a newer version.

    :param version: version that results from the update.
    :param digest: digest of the configuration of that version.
    :param deltas: encoded deltas, the oldest first; empty if the update is a full
        document.
    :param document: compressed full document; empty if the update consists of deltas.
    """

    version: int
    digest: str
    deltas: tuple[bytes, ...] = ()
    document: bytes = b""


class DeltaLog:
    """Log of the latest consecutive deltas, within a size limit.

    :param max_bytes: maximum total size of the deltas; the oldest ones are evicted.
    """

    def __init__(self, max_bytes: int = MAX_DELTA_LOG_BYTES) -> None:
        self._max_bytes = max_bytes
        self._deltas: dict[int, bytes] = {}
        self._total_bytes = 0

    def append(self, version: int, delta: bytes) -> None:
        """Append the delta to a version.

        A gap in the versions, or an empty delta, clears the log, since its deltas must
        be consecutive.

        :param version: version that results from the delta.
        :param delta: encoded delta from the previous version; empty if there is none.
        """
        if version in self._deltas:
            return
        if not delta or (self._deltas and version - 1 not in self._deltas):
            self._deltas.clear()
            self._total_bytes = 0
        if not delta:
            return
        self._deltas[version] = delta
        self._total_bytes += len(delta)
        while self._total_bytes > self._max_bytes:
            oldest = next(iter(self._deltas))
            self._total_bytes -= len(self._deltas.pop(oldest))

    def select(self, base_version: int, version: int) -> tuple[bytes, ...]:
        """Return the deltas from one version to another.

        :param base_version: version that the first delta applies to.
        :param version: version that results from the last delta.
        :returns: encoded deltas, the oldest first; empty if one is missing.

        >>> log = DeltaLog()
        >>> log.append(2, b"a"), log.append(3, b"b")
        (None, None)
        >>> log.select(1, 3), log.select(0, 3)
        ((b'a', b'b'), ())
        """
        versions = range(base_version + 1, version + 1)
        if len(versions) > len(self._deltas):
            return ()
        if not all(number in self._deltas for number in versions):
            return ()
        return tuple(self._deltas[number] for number in versions)


def encode_announcement(announcement: Announcement) -> bytes:
    """Encode the payload of an announcement: a line of JSON, then the delta."""
    header: dict[str, Any] = {"version": announcement.version}
    if announcement.history_id:
        header["history"] = announcement.history_id
    return json.dumps(header).encode() + b"\n" + announcement.delta


def decode_announcement(payload: bytes) -> Announcement | Failure:
    """Decode the payload of an announcement.

    :param payload: payload of the call.
    :returns: the announcement, or a failure if the payload is malformed.

    >>> decode_announcement(encode_announcement(Announcement(7, b"{}")))
    Announcement(version=7, delta=b'{}', history_id='')
    """
    header, _, delta = payload.partition(b"\n")
    version = decode_version(header)
    if isinstance(version, Failure):
        return version
    members = json.loads(header)
    if "history" not in members:
        return Announcement(version, delta)
    try:
        history_id = StoreHistoryId(require_text(members["history"], "history"))
    except ValueError as error:
        return _make_malformed(f"malformed announcement: {error}")
    return Announcement(version, delta, history_id)


def encode_version(version: int) -> bytes:
    """Encode a payload that contains only a version number."""
    return json.dumps({"version": version}).encode()


def decode_version(payload: bytes) -> int | Failure:
    """Decode a payload that contains only a version number.

    :param payload: payload of the call.
    :returns: the version, or a failure if the payload is malformed.

    >>> decode_version(b"7").reason
    'malformed version: expected an object'
    """
    try:
        members = json.loads(payload)
        if not isinstance(members, dict):
            raise ValueError("expected an object")
        return require_int(members["version"], "version", 0)
    except MALFORMED_ERRORS as error:
        return _make_malformed(f"malformed version: {error}")


def encode_update(update: Update) -> bytes:
    """Encode the payload of an update: a line of JSON, then the deltas or document."""
    header = {
        "version": update.version,
        "digest": update.digest,
        "deltas": len(update.deltas),
    }
    content = b"\n".join(update.deltas) if update.deltas else update.document
    return json.dumps(header).encode() + b"\n" + content


def decode_update(payload: bytes) -> Update | Failure:
    """Decode the payload of an update.

    :param payload: payload of the reply.
    :returns: the update, or a failure if the payload is malformed.

    >>> decode_update(encode_update(Update(3, "d", (b"{}", b"[]")))).deltas
    (b'{}', b'[]')
    """
    header, _, content = payload.partition(b"\n")
    try:
        members = json.loads(header)
        count = require_int(members["deltas"], "deltas", 0)
        version = require_int(members["version"], "version", 0)
        digest = require_text(members["digest"], "digest")
    except MALFORMED_ERRORS as error:
        return _make_malformed(f"malformed update: {error}")
    if not count:
        return Update(version, digest, document=content)
    deltas = tuple(content.split(b"\n"))
    if len(deltas) != count:
        return _make_malformed(f"{len(deltas)} deltas, but the header states {count}")
    return Update(version, digest, deltas)


def _make_malformed(reason: str) -> Failure:
    return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
