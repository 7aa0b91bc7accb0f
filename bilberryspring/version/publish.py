"""Publication of configuration versions, and access to the stored versions.

One transaction accepts a version: it creates the version's records and updates the
head, on the condition that the head is unchanged since it was read. If the response is
lost, the same transaction is repeated, which can take effect only once, and the
publication token is read back.
"""

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from bilberryspring.capability.store import (
    Compare,
    Delete,
    Operation,
    Put,
    Store,
    key_absent,
    value_is,
)
from bilberryspring.process.accounting import ControlMechanism
from bilberryspring.request.errors import ErrorKind, Failure, Outcome, make_failure
from bilberryspring.version.delta import compare_configurations, encode_delta
from bilberryspring.version.objects import Configuration
from bilberryspring.version.record import (
    CHANGES_PREFIX,
    HEAD_KEY,
    MAX_RECORD_BYTES,
    VERSION_DIGITS,
    ChangeRecord,
    Head,
    ObjectCounts,
    VersionRecord,
    change_key,
    compress_document,
    decode_change_record,
    decode_head,
    decode_version_record,
    decompress_configuration,
    encode_change_record,
    encode_head,
    encode_version_record,
    version_key,
)

__all__ = [
    "Publication",
    "PublishConflict",
    "make_token",
    "publish_configuration",
    "restore_version",
    "read_head",
    "read_change",
    "read_version",
    "list_changes",
]

T = TypeVar("T")

MAX_STORED_DOCUMENTS = 32
MAX_STORED_CHANGES = 2_600
MAX_DELTA_BYTES = 16_000
CONFIRM_TIMEOUT_S = 10.0
CONFIRM_RETRY_S = 0.2
# One read of a hundred change records stays below two megabytes.
PAGE_DIGITS = 2

MECHANISM = ControlMechanism.CONFIGURATION


@dataclass(frozen=True, slots=True)
class Publication:
    """Result of an accepted publication.

    :param version: number of the accepted version.
    :param change: change record of that version.
    """

    version: int
    change: ChangeRecord


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """Result of a publication that was refused because its base is outdated.

    :param base_version: version from which the configuration was derived.
    :param version: currently accepted version.
    :param operator: name of the operator who published that version; empty if unknown.
    """

    base_version: int
    version: int
    operator: str


@dataclass(frozen=True, slots=True)
class _PreparedPublication:
    """Transaction of one publication."""

    compares: tuple[Compare, ...]
    operations: tuple[Operation, ...]
    change: ChangeRecord


def make_token() -> str:
    """Return a token that is unique for one publication."""
    return secrets.token_hex(16)


async def publish_configuration(
    key_value: Store,
    base_version: int,
    configuration: Configuration,
    operator: str,
    token: str,
    confirm_timeout_s: float = CONFIRM_TIMEOUT_S,
    active_version: int = 0,
) -> Publication | PublishConflict | Failure:
    """Publish a validated configuration as the next version, atomically.

    The call is idempotent: the same token and base return the same publication.

    :param key_value: client of the platform's key-value service.
    :param base_version: version from which the configuration was derived; zero for
        none.
    :param configuration: a validated configuration.
    :param operator: name of the operator.
    :param token: unique token of the publication.
    :param confirm_timeout_s: time limit, in seconds, for repeating a transaction whose
        response was lost.
    :param active_version: newest version known to be accepted; nothing is published
        while the service has lost it, since its number would be given out again.
    :returns: the publication, a conflict with the accepted version, or a failure. The
        outcome of the failure states whether the version may have been accepted.
    """
    item = await key_value.get(HEAD_KEY, mechanism=MECHANISM)
    if isinstance(item, Failure):
        return _mark_not_run(item)
    head = decode_head(item.value) if item else Head(0, "")
    if isinstance(head, Failure):
        return _mark_not_run(head)
    if head.version < active_version:
        reason = f"the key-value service has lost version {active_version}; try again"
        return make_failure(
            ErrorKind.PLATFORM_UNAVAILABLE, reason, outcome=Outcome.NOT_RUN
        )
    if head.version != base_version:
        found = await _find_publication(key_value, base_version, token)
        return _mark_not_run(found) if isinstance(found, Failure) else found
    previous = await _read_base(key_value, base_version)
    if isinstance(previous, Failure):
        return _mark_not_run(previous)
    condition = value_is(HEAD_KEY, item.value) if item else None
    prepared = await asyncio.to_thread(
        _prepare_publication,
        base_version,
        previous,
        configuration,
        operator,
        token,
        condition,
    )
    if isinstance(prepared, Failure):
        return prepared
    return await _commit(key_value, base_version, prepared, confirm_timeout_s)


async def _read_base(
    key_value: Store, base_version: int
) -> Configuration | None | Failure:
    if base_version == 0:
        return None
    record = await read_version(key_value, base_version)
    if record is None or isinstance(record, Failure):
        return record
    return await asyncio.to_thread(decompress_configuration, record.document)


def _prepare_publication(
    base_version: int,
    previous: Configuration | None,
    configuration: Configuration,
    operator: str,
    token: str,
    head_unchanged: Compare | None,
) -> _PreparedPublication | Failure:
    version = base_version + 1
    delta = compare_configurations(
        previous or Configuration(), base_version, configuration, version
    )
    encoded = encode_delta(delta)
    counts = {
        section: ObjectCounts(len(change.changed), len(change.removed))
        for section, change in delta.sections.items()
    }
    change = ChangeRecord(
        version=version,
        digest=delta.digest,
        token=token,
        operator=operator,
        published_s=time.time(),
        counts=counts,
        delta=encoded if previous and len(encoded) <= MAX_DELTA_BYTES else b"",
    )
    record = encode_version_record(
        VersionRecord(version, delta.digest, compress_document(configuration))
    )
    if len(record) > MAX_RECORD_BYTES:
        reason = f"{len(record)} compressed bytes exceed the limit {MAX_RECORD_BYTES}"
        return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
    operations: list[Operation] = [
        Put(version_key(version), record),
        Put(change_key(version), encode_change_record(change)),
        Put(HEAD_KEY, encode_head(Head(version, delta.digest))),
    ]
    if version > MAX_STORED_DOCUMENTS:
        operations.append(Delete(version_key(version - MAX_STORED_DOCUMENTS)))
    if version > MAX_STORED_CHANGES:
        operations.append(Delete(change_key(version - MAX_STORED_CHANGES)))
    compares = (
        head_unchanged or key_absent(HEAD_KEY),
        key_absent(version_key(version)),
    )
    return _PreparedPublication(compares, tuple(operations), change)


async def _commit(
    key_value: Store,
    base_version: int,
    prepared: _PreparedPublication,
    confirm_timeout_s: float,
) -> Publication | PublishConflict | Failure:
    deadline_s = time.monotonic() + confirm_timeout_s
    may_have_run = False
    while True:
        result = await key_value.transact(
            prepared.compares, prepared.operations, mechanism=MECHANISM
        )
        if not isinstance(result, Failure):
            if result.succeeded:
                return Publication(prepared.change.version, prepared.change)
            found = await _find_publication(
                key_value, base_version, prepared.change.token
            )
            if not isinstance(found, Failure):
                return found
            may_have_run, result = True, found
        may_have_run = may_have_run or result.outcome is not Outcome.NOT_RUN
        if not may_have_run:
            return result
        # A transaction whose response was lost may still be in flight. Repeating it
        # determines the outcome, since only one of the two can update the head.
        if time.monotonic() >= deadline_s:
            return _make_unknown_failure(prepared.change.version, result)
        await asyncio.sleep(CONFIRM_RETRY_S)


async def _find_publication(
    key_value: Store, base_version: int, token: str
) -> Publication | PublishConflict | Failure:
    """Return the publication if the version after ``base_version`` has this token."""
    change = await read_change(key_value, base_version + 1)
    if isinstance(change, Failure):
        return change
    if change is not None and change.token == token:
        return Publication(change.version, change)
    head = await read_head(key_value)
    if isinstance(head, Failure):
        return head
    accepted_version = head.version if head else 0
    latest = await read_change(key_value, accepted_version)
    operator = latest.operator if isinstance(latest, ChangeRecord) else ""
    return PublishConflict(base_version, accepted_version, operator)


def _mark_not_run(failure: Failure) -> Failure:
    """Mark that this call wrote nothing; only a read failed, with any outcome."""
    return replace(failure, outcome=Outcome.NOT_RUN)


def _make_unknown_failure(version: int, failure: Failure) -> Failure:
    reason = (
        f"it is unknown whether version {version} was accepted; "
        f"publish again with the same token: {failure.reason}"
    )
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, outcome=Outcome.UNKNOWN)


async def _read_record(
    key_value: Store, key: str, decode: Callable[[bytes], T | Failure]
) -> T | None | Failure:
    """Return the decoded record of a key, or ``None`` if the key does not exist."""
    item = await key_value.get(key, mechanism=MECHANISM)
    if item is None or isinstance(item, Failure):
        return item
    return decode(item.value)


async def restore_version(key_value: Store, record: VersionRecord) -> bool | Failure:
    """Write an accepted version that the service has lost, as the accepted one.

    The service loses versions when it is restored from a copy. The change records of
    lost versions are not written again.

    :param key_value: client of the platform's key-value service.
    :param record: a version that was accepted.
    :returns: whether this call wrote the version; it is not written if the head names
        the same or a newer one.
    """
    item = await key_value.get(HEAD_KEY, mechanism=MECHANISM)
    if isinstance(item, Failure):
        return item
    head = decode_head(item.value) if item else Head(0, "")
    if isinstance(head, Failure):
        return head
    if head.version >= record.version:
        return False
    operations: list[Operation] = [
        Put(version_key(record.version), encode_version_record(record)),
        Put(HEAD_KEY, encode_head(Head(record.version, record.digest))),
    ]
    oldest = record.version - MAX_STORED_DOCUMENTS + 1
    if oldest > 1:
        operations.append(Delete(version_key(0), version_key(oldest)))
    head_unchanged = value_is(HEAD_KEY, item.value) if item else key_absent(HEAD_KEY)
    result = await key_value.transact(
        (head_unchanged,), operations, mechanism=MECHANISM
    )
    return result if isinstance(result, Failure) else result.succeeded


async def read_head(key_value: Store) -> Head | None | Failure:
    """Read the head, which names the accepted version.

    :param key_value: client of the platform's key-value service.
    :returns: the head, ``None`` if no version was ever accepted, or a failure.
    """
    return await _read_record(key_value, HEAD_KEY, decode_head)


async def read_version(
    key_value: Store, version: int
) -> VersionRecord | None | Failure:
    """Read the record of a version, which contains its full document.

    :param key_value: client of the platform's key-value service.
    :param version: number of the version.
    :returns: the record, ``None`` if it is not stored, or a failure.
    """
    return await _read_record(key_value, version_key(version), decode_version_record)


async def read_change(key_value: Store, version: int) -> ChangeRecord | None | Failure:
    """Read the change record of a version.

    :param key_value: client of the platform's key-value service.
    :param version: number of the version.
    :returns: the record, ``None`` if it is not stored, or a failure.
    """
    return await _read_record(key_value, change_key(version), decode_change_record)


async def list_changes(
    key_value: Store, before_version: int, limit: int
) -> list[ChangeRecord] | Failure:
    """List change records, the newest first.

    :param key_value: client of the platform's key-value service.
    :param before_version: exclusive upper limit of the version numbers.
    :param limit: maximum number of records to return.
    :returns: the records, or a failure.
    """
    changes: list[ChangeRecord] = []
    page_size = 10**PAGE_DIGITS
    page = (before_version - 1) // page_size
    while page >= 0 and len(changes) < limit:
        digits = f"{page:0{VERSION_DIGITS - PAGE_DIGITS}d}"
        found = await key_value.get_prefix(CHANGES_PREFIX + digits, mechanism=MECHANISM)
        if isinstance(found, Failure):
            return found
        records = [decode_change_record(item.value) for item in found.items]
        for record in reversed(records):
            if isinstance(record, Failure):
                return record
            if record.version < before_version:
                changes.append(record)
        if not records and page < before_version // page_size:
            break
        page -= 1
    return changes[:limit]
