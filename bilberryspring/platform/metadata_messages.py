"""Values of the platform's metadata store, and the decoders of its answers."""

import base64
import binascii
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "HistoryGone",
    "Lease",
    "StoreChanges",
    "StoreConflict",
    "StoreItem",
    "StoreListing",
    "decode_answer",
    "decode_changes",
    "decode_item",
    "decode_page",
    "fail_store",
    "read_body",
    "read_int",
]

T = TypeVar("T")

# Statuses that say something about what was asked; others are failures of the store.
_EXPECTED = (200, 404, 410, 412)


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One key as the store holds it.

    :param value: ``None`` if the key was removed.
    :param revision: revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreListing:
    """Every key of a prefix; pages of a long list are of different moments.

    :param revision: revision of the store at the first page.
    """

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changes since a revision.

    :param revision: where the next question goes on.
    """

    items: tuple[StoreItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Sentinel value: the store has dropped the changes since the revision."""


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """Sentinel value: a condition of a transaction did not hold, nothing was done."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that keys are attached to."""

    lease_id: int
    duration_s: float


def fail_store(reason: str) -> Failure:
    """Return the failure of a call.

    :param reason: what happened.
    """
    return make_failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)


def decode_answer(status: int, content: bytes) -> tuple[int, dict] | Failure:
    """Decode the body of an answer.

    :param status: HTTP status code.
    :param content: the body.
    :returns: status and document, or a failure if the store says nothing of use.
    """
    if status not in _EXPECTED:
        return fail_store(f"the store answered {status}")
    if status != 200:
        return status, {}
    try:
        body = json.loads(content) if content else {}
    except ValueError as error:
        return fail_store(f"the store's answer is not JSON: {error}")
    if not isinstance(body, dict):
        return fail_store("the store's answer is not an object")
    return status, body


def read_body(
    status: int, body: Mapping, decode: Callable[[Mapping], T]
) -> T | Failure:
    """Return what a document says.

    :param status: status of the answer; another one than 200 is a failure here.
    :param body: the document.
    :param decode: reads it; what it raises for a missing or wrong field is a failure.
    """
    if status != 200:
        return fail_store(f"the store answered {status}")
    try:
        return decode(body)
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        return fail_store(f"the store's answer cannot be read: {error!r}")


def read_int(body: Mapping, name: str) -> int:
    """Return a whole number.

    :param body: a document.
    :param name: name of its field.
    :raises ValueError: if it is not a whole number.
    :raises KeyError: if it is not there.
    """
    value = body[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is not a whole number")
    return value


def decode_item(body: Mapping) -> StoreItem:
    """Decode an item, or the event of its removal.

    :param body: a document.
    :raises ValueError: if a field is wrong.
    """
    key, revision = body["key"], read_int(body, "revision")
    if not isinstance(key, str):
        raise ValueError("a key is not text")
    if body.get("tombstone"):
        return StoreItem(key, None, revision)
    return StoreItem(key, base64.b64decode(body["value"], validate=True), revision)


def decode_page(body: Mapping) -> tuple[list[StoreItem], int, bool]:
    """Decode one page of a list.

    :param body: a document.
    :returns: items, revision of the store, and whether another page follows.
    """
    items = [decode_item(each) for each in body["items"]]
    return items, read_int(body, "currentRev"), bool(body.get("truncated"))


def decode_changes(body: Mapping, since_revision: int) -> StoreChanges:
    """Decode the answer of a watch.

    :param body: a document.
    :param since_revision: revision that was asked for.
    """
    items = tuple(decode_item(each) for each in body["events"])
    # An answer without events may repeat an older revision than the one asked for.
    revision = max(read_int(body, "currentRev"), since_revision)
    return StoreChanges(items, revision)
