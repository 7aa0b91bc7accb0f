"""Records of configuration versions in the key-value service.

Three keys describe the accepted version: the head names it, its version key holds the
full document, and its change key holds the operator and the changes. Version and change
keys are written once, in the transaction that updates the head.
"""

import json
import zlib
from dataclasses import asdict, dataclass

from bilberryspring.malformed_input import (
    MALFORMED_ERRORS,
    require_finite,
    require_int,
    require_text,
)
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.document import (
    MAX_DOCUMENT_BYTES,
    check_document,
    encode_document,
)
from bilberryspring.version.objects import Configuration, Section

__all__ = [
    "HEAD_KEY",
    "CHANGES_PREFIX",
    "MAX_RECORD_BYTES",
    "Head",
    "VersionRecord",
    "ChangeRecord",
    "ObjectCounts",
    "version_key",
    "change_key",
    "encode_head",
    "decode_head",
    "encode_version_record",
    "decode_version_record",
    "encode_change_record",
    "decode_change_record",
    "compress_document",
    "decompress_configuration",
]

HEAD_KEY = "/bilberryspring/configuration/head"
VERSIONS_PREFIX = "/bilberryspring/configuration/versions/"
CHANGES_PREFIX = "/bilberryspring/configuration/changes/"
VERSION_DIGITS = 12
# The service accepts values of up to a megabyte. Base64 in its JSON encoding adds a
# third to the size of a request.
MAX_RECORD_BYTES = 1_000_000
COMPRESSION_LEVEL = 6


@dataclass(frozen=True, slots=True)
class Head:
    """Value of the head key, which names the accepted version.

    :param version: number of the version; versions are numbered consecutively.
    :param digest: digest of its configuration.
    """

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """Immutable record of one version with its full document.

    :param version: number of the version.
    :param digest: digest of its configuration.
    :param document: compressed canonical document.
    """

    version: int
    digest: str
    document: bytes


@dataclass(frozen=True, slots=True)
class ObjectCounts:
    """Number of objects of one section that a version changed and removed.

    :param changed: number of added or changed objects.
    :param removed: number of removed objects.
    """

    changed: int
    removed: int


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Record of the operator and the changes of one version.

    :param version: number of the version.
    :param digest: digest of its configuration.
    :param token: unique token of the publication, which shows whether a publication
        whose response was lost was accepted.
    :param operator: name of the operator whose key was used.
    :param published_s: time of the publication, in seconds since the Unix epoch.
    :param counts: number of changed and removed objects by section.
    :param delta: encoded delta from the previous version; empty if there is no previous
        version or the delta is too large to store.
    """

    version: int
    digest: str
    token: str
    operator: str
    published_s: float
    counts: dict[Section, ObjectCounts]
    delta: bytes = b""


def version_key(version: int) -> str:
    """Return the key of the record of a version.

    :param version: number of the version.

    >>> version_key(7)
    '/bilberryspring/configuration/versions/000000000007'
    """
    return f"{VERSIONS_PREFIX}{version:0{VERSION_DIGITS}d}"


def change_key(version: int) -> str:
    """Return the key of the change record of a version.

    :param version: number of the version.
    """
    return f"{CHANGES_PREFIX}{version:0{VERSION_DIGITS}d}"


def compress_document(configuration: Configuration) -> bytes:
    """Return the compressed canonical document of a configuration."""
    return zlib.compress(encode_document(configuration), COMPRESSION_LEVEL)


def decompress_configuration(document: bytes) -> Configuration | Failure:
    """Decompress and validate a document.

    :param document: compressed document of a version.
    :returns: the configuration, or a failure if the content is corrupt or invalid.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(document, MAX_DOCUMENT_BYTES + 1)
    except zlib.error as error:
        return _make_corrupt(str(error))
    if not decompressor.eof:
        return _make_corrupt("truncated or too large")
    checked = check_document(raw)
    if isinstance(checked, Configuration):
        return checked
    return _make_corrupt(f"{checked[0].path}: {checked[0].message}")


def encode_head(head: Head) -> bytes:
    """Encode the value of the head key."""
    return json.dumps(asdict(head)).encode()


def decode_head(value: bytes) -> Head | Failure:
    """Decode the value of the head key.

    :param value: stored value.
    :returns: the head, or a failure if the value is corrupt.

    >>> decode_head(encode_head(Head(3, "d"))).version
    3
    """
    try:
        members = json.loads(value)
        return Head(
            require_int(members["version"], "version", 0),
            require_text(members["digest"], "digest"),
        )
    except MALFORMED_ERRORS as error:
        return _make_corrupt(f"head: {error}")


def encode_version_record(record: VersionRecord) -> bytes:
    """Encode the value of a version key: a line of JSON, then the document."""
    header = {"version": record.version, "digest": record.digest}
    return json.dumps(header).encode() + b"\n" + record.document


def decode_version_record(value: bytes) -> VersionRecord | Failure:
    """Decode the value of a version key.

    :param value: stored value.
    :returns: the record, or a failure if the value is corrupt.

    >>> decode_version_record(encode_version_record(VersionRecord(1, "d", b"x")))
    VersionRecord(version=1, digest='d', document=b'x')
    """
    header, _, document = value.partition(b"\n")
    try:
        members = json.loads(header)
        return VersionRecord(
            require_int(members["version"], "version", 0),
            require_text(members["digest"], "digest"),
            document,
        )
    except MALFORMED_ERRORS as error:
        return _make_corrupt(f"version record: {error}")


def encode_change_record(record: ChangeRecord) -> bytes:
    """Encode the value of a change key: a line of JSON, then the delta."""
    header = asdict(record)
    del header["delta"]
    return json.dumps(header).encode() + b"\n" + record.delta


def decode_change_record(value: bytes) -> ChangeRecord | Failure:
    """Decode the value of a change key.

    :param value: stored value.
    :returns: the record, or a failure if the value is corrupt.
    """
    header, _, delta = value.partition(b"\n")
    try:
        members = json.loads(header)
        counts = {
            section: ObjectCounts(
                require_int(item["changed"], "changed", 0),
                require_int(item["removed"], "removed", 0),
            )
            for section, item in members["counts"].items()
        }
        return ChangeRecord(
            version=require_int(members["version"], "version", 0),
            digest=require_text(members["digest"], "digest"),
            token=require_text(members["token"], "token"),
            operator=require_text(members["operator"], "operator"),
            published_s=require_finite(members["published_s"], "published_s", 0),
            counts=counts,
            delta=delta,
        )
    except MALFORMED_ERRORS as error:
        return _make_corrupt(f"change record: {error}")


def _make_corrupt(reason: str) -> Failure:
    return make_failure(ErrorKind.CONFIGURATION_INVALID, f"corrupt record: {reason}")
