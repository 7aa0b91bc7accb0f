"""Updates to newer configuration versions, from peers or the key-value service."""

import asyncio
from dataclasses import dataclass

from bilberryspring.capability.store import (
    Store,
)
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.delta import (
    apply_delta,
    decode_delta,
    digest_configuration,
)
from bilberryspring.version.objects import Configuration
from bilberryspring.version.publish import read_change, read_head, read_version
from bilberryspring.version.record import decompress_configuration
from bilberryspring.version.updates import Update

__all__ = ["LoadedVersion", "apply_deltas", "apply_update", "read_update"]

# If more versions than this are missing, the full document is read instead of deltas.
MAX_DELTA_READS = 8


@dataclass(frozen=True, slots=True)
class LoadedVersion:
    """A configuration version that the process has decoded and verified.

    :param version: number of the version; zero for none.
    :param digest: digest of the configuration; empty if there is no version.
    :param configuration: the configuration.
    :param deltas: encoded deltas from which the version was built, the oldest first;
        empty if it was built from a full document.
    :param document: compressed document; empty if it has not been needed yet.
    """

    version: int
    digest: str
    configuration: Configuration
    deltas: tuple[bytes, ...] = ()
    document: bytes = b""


async def apply_update(base: LoadedVersion, update: Update) -> LoadedVersion | Failure:
    """Build the version that results from an update.

    :param base: version that the deltas of the update apply to.
    :param update: deltas or a full document.
    :returns: the newer version, or a failure if the content does not match the version
        and the digest of the update.
    """
    if not update.deltas:
        checked = await asyncio.to_thread(_check_document, update)
        if isinstance(checked, Failure):
            return checked
        return LoadedVersion(
            update.version, update.digest, checked, document=update.document
        )
    result = apply_deltas(base, update.deltas)
    if isinstance(result, Failure):
        return result
    if (result.version, result.digest) != (update.version, update.digest):
        return _make_mismatch(update)
    return result


def apply_deltas(
    base: LoadedVersion, deltas: tuple[bytes, ...]
) -> LoadedVersion | Failure:
    """Build the version that results from consecutive deltas.

    :param base: version that the first delta applies to.
    :param deltas: encoded deltas, the oldest first.
    :returns: the newer version, or a failure if a delta is malformed or does not apply.
    """
    configuration, digest, version = base.configuration, base.digest, base.version
    for raw in deltas:
        delta = decode_delta(raw)
        if isinstance(delta, Failure):
            return delta
        if delta.base_version != version:
            reason = f"the delta applies to version {delta.base_version}"
            return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
        result = apply_delta(configuration, digest, delta)
        if isinstance(result, Failure):
            return result
        configuration, digest, version = result, delta.digest, delta.version
    return LoadedVersion(version, digest, configuration, deltas=deltas)


def _check_document(update: Update) -> Configuration | Failure:
    configuration = decompress_configuration(update.document)
    if isinstance(configuration, Failure):
        return configuration
    if digest_configuration(configuration) != update.digest:
        return _make_mismatch(update)
    return configuration


def _make_mismatch(update: Update) -> Failure:
    reason = f"the content does not match version {update.version}"
    return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)


async def read_update(key_value: Store, known_version: int) -> Update | None | Failure:
    """Read the update to the accepted version from the key-value service.

    :param key_value: client of the platform's key-value service.
    :param known_version: active version of this process; zero for none.
    :returns: the update, ``None`` if no newer version was accepted, or a failure.
    """
    head = await read_head(key_value)
    if head is None or isinstance(head, Failure):
        return head
    if head.version <= known_version:
        return None
    if known_version and head.version - known_version <= MAX_DELTA_READS:
        numbers = range(known_version + 1, head.version + 1)
        changes = [await read_change(key_value, number) for number in numbers]
        deltas = tuple(
            change.delta
            for change in changes
            if change is not None and not isinstance(change, Failure) and change.delta
        )
        if len(deltas) == len(numbers):
            return Update(head.version, head.digest, deltas)
    record = await read_version(key_value, head.version)
    if isinstance(record, Failure):
        return record
    if record is None:  # deleted by later publications since the head was read
        reason = f"version {head.version} is no longer stored"
        return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)
    return Update(head.version, record.digest, document=record.document)
