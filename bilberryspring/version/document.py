"""Parsing, validation and canonical encoding of configuration documents."""

import json
from collections.abc import Iterator
from dataclasses import dataclass

import json5
from pydantic import ValidationError

from bilberryspring.policy.ordering import ORDER_POLICIES
from bilberryspring.policy.placement import PLACEMENT_POLICIES
from bilberryspring.policy.waiting import WAITING_POLICIES
from bilberryspring.version.index import digest_key
from bilberryspring.version.objects import (
    REFERENCES,
    SECTION_LIMITS,
    SECTION_MODELS,
    Configuration,
    NamedObject,
    PoolKind,
    Section,
)

__all__ = [
    "DocumentFault",
    "MAX_DOCUMENT_BYTES",
    "MAX_JSON5_BYTES",
    "parse_document",
    "check_document",
    "encode_document",
]

MAX_DOCUMENT_BYTES = 1_000_000
# The JSON5 parser takes seconds for a megabyte.
MAX_JSON5_BYTES = 64_000
EMPTY_KEY_DIGEST = digest_key("")
_POLICY_REGISTRIES = {
    "placement_policy": PLACEMENT_POLICIES,
    "waiting_policy": WAITING_POLICIES,
    "order_policy": ORDER_POLICIES,
}


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """One error in a configuration document.

    :param path: path of the invalid value, such as ``routes[2].pool``; empty for the
        whole document.
    :param message: description of the error.
    """

    path: str
    message: str


class _DuplicateMemberError(ValueError):
    pass


def parse_document(raw: bytes) -> object | DocumentFault:
    """Parse a document as JSON, or as JSON5 (which allows comments) if that fails.

    :param raw: text of the document in UTF-8.
    :returns: the parsed value, or the error in the text.

    >>> parse_document(b'{"pools": [], /* none yet */}')
    {'pools': []}
    """
    if len(raw) > MAX_DOCUMENT_BYTES:
        message = f"{len(raw)} bytes exceed the limit of {MAX_DOCUMENT_BYTES} bytes"
        return DocumentFault("", message)
    try:
        text = raw.decode("utf-8")
        return json.loads(text, object_pairs_hook=_refuse_duplicate_members)
    except UnicodeDecodeError as error:
        return DocumentFault("", f"not UTF-8: {error.reason} at byte {error.start}")
    except _DuplicateMemberError as error:
        return DocumentFault("", str(error))
    except RecursionError:
        return DocumentFault("", "nested too deeply")
    except ValueError as error:
        if len(raw) > MAX_JSON5_BYTES:
            return DocumentFault("", f"not JSON: {error}")
    return _parse_json5(text)


def _parse_json5(text: str) -> object | DocumentFault:
    try:
        return json5.loads(text, object_pairs_hook=_refuse_duplicate_members)
    except _DuplicateMemberError as error:
        return DocumentFault("", str(error))
    except RecursionError:
        return DocumentFault("", "nested too deeply")
    except ValueError as error:
        return DocumentFault("", f"not JSON with comments: {error}")


def _refuse_duplicate_members(pairs: list[tuple[str, object]]) -> dict[str, object]:
    members = dict(pairs)
    if len(members) < len(pairs):
        names = [name for name, _ in pairs]
        repeated = next(name for name in names if names.count(name) > 1)
        raise _DuplicateMemberError(f"member {repeated!r} is repeated in one object")
    return members


def check_document(raw: bytes) -> Configuration | list[DocumentFault]:
    """Parse and validate a complete document.

    :param raw: text of the document in UTF-8.
    :returns: the configuration, or all errors in the document.

    >>> check_document(b'{"adapters": [{"name": "a", "model": "m"}]}')
    [DocumentFault(path='adapters[0].model', message="unknown model 'm'")]
    """
    document = parse_document(raw)
    if isinstance(document, DocumentFault):
        return [document]
    if not isinstance(document, dict):
        return [DocumentFault("", "expected an object with sections")]
    faults: list[DocumentFault] = []
    checked = _CheckedDocument({}, {})
    for member in document:
        if member not in SECTION_MODELS:
            faults.append(DocumentFault(str(member), "unknown section"))
    for section in SECTION_MODELS:
        faults += _check_section(section, document.get(section, []), checked)
    for check in DOCUMENT_CHECKS:
        faults += check(checked)
    if faults:
        return faults
    sections = {name: list(items.values()) for name, items in checked.objects.items()}
    return Configuration(**sections)


def encode_document(configuration: Configuration) -> bytes:
    """Return the canonical text of a configuration.

    Objects and members are sorted by name, so equal configurations have equal text,
    independent of the order in which they were written.

    :param configuration: a validated configuration.
    :returns: JSON without white space, in UTF-8.

    >>> encode_document(Configuration())[:14]
    b'{"adapters":[]'
    """
    document = configuration.model_dump(mode="json", exclude_defaults=True)
    for section in SECTION_MODELS:
        objects = document.get(section, [])
        document[section] = sorted(objects, key=lambda item: item["name"])
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return text.encode()


@dataclass(slots=True)
class _CheckedDocument:
    """Intermediate result of the validation of a document.

    :param objects: individually valid objects by index, for each section.
    :param names: names of all objects, also of invalid ones, for each section.
    """

    objects: dict[Section, dict[int, NamedObject]]
    names: dict[Section, set[str]]


def _check_section(
    section: Section, items: object, checked: _CheckedDocument
) -> Iterator[DocumentFault]:
    checked.objects[section] = {}
    checked.names[section] = set()
    if not isinstance(items, list):
        yield DocumentFault(section, "expected a list of objects")
        return
    limit = SECTION_LIMITS[section]
    if len(items) > limit:
        message = f"{len(items)} objects exceed the limit of {limit}"
        yield DocumentFault(section, message)
        return
    for position, item in enumerate(items):
        yield from _check_object(section, position, item, checked)


def _check_object(
    section: Section, position: int, item: object, checked: _CheckedDocument
) -> Iterator[DocumentFault]:
    path = f"{section}[{position}]"
    names = checked.names[section]
    # The name of an object with other errors still counts as defined, so that these
    # errors do not cause another error at each reference to the object.
    name = item.get("name") if isinstance(item, dict) else None
    if isinstance(name, str):
        if name in names:
            yield DocumentFault(f"{path}.name", f"duplicate name {name!r}")
        names.add(name)
    if isinstance(item, dict):
        for member, value in item.items():
            # Null would stand for the default, which may allow more.
            if value is None:
                message = "must not be null; leave the member out for its default"
                yield DocumentFault(f"{path}.{member}", message)
    try:
        model = SECTION_MODELS[section]
        checked.objects[section][position] = model.model_validate(item)
    except ValidationError as error:
        for fault in error.errors(include_url=False, include_input=False):
            yield DocumentFault(path + _format_location(fault["loc"]), fault["msg"])


def _format_location(location: tuple[int | str, ...]) -> str:
    return "".join(
        f"[{part}]" if isinstance(part, int) else f".{part}" for part in location
    )


def _check_references(checked: _CheckedDocument) -> Iterator[DocumentFault]:
    for section, field, target in REFERENCES:
        known = checked.names[target]
        for position, item in checked.objects[section].items():
            path = f"{section}[{position}].{field}"
            value = getattr(item, field)
            if isinstance(value, list):
                references = [(f"{path}[{i}]", name) for i, name in enumerate(value)]
            else:
                references = [(path, value)]
            for reference_path, name in references:
                if name is not None and name not in known:
                    kind = target.removesuffix("s").replace("_", " ")
                    yield DocumentFault(reference_path, f"unknown {kind} {name!r}")


def _check_ranks(checked: _CheckedDocument) -> Iterator[DocumentFault]:
    ranks = checked.objects["work_ranks"]
    by_order: dict[int, str] = {}
    for position, rank in ranks.items():
        other = by_order.setdefault(rank.order, rank.name)
        if other != rank.name:
            message = f"work rank {other!r} has the order {rank.order} already"
            yield DocumentFault(f"work_ranks[{position}].order", message)
    total = sum(rank.minimum_share for rank in ranks.values())
    if total > 1 + 1e-9:
        message = f"the minimum shares add up to {total:.6g}, more than 1"
        yield DocumentFault("work_ranks", message)


def _check_routes(checked: _CheckedDocument) -> Iterator[DocumentFault]:
    pools = {pool.name: pool for pool in checked.objects["pools"].values()}
    models = {model.name: model for model in checked.objects["models"].values()}
    for position, model in checked.objects["models"].items():
        pool = pools.get(model.pool)
        if pool is not None and pool.kind is not PoolKind.ENGINE:
            message = f"pool {pool.name!r} is not an engine pool"
            yield DocumentFault(f"models[{position}].pool", message)
    for position, route in checked.objects["routes"].items():
        pool, path = pools.get(route.pool), f"routes[{position}].model"
        model = models.get(route.model) if route.model else None
        if pool is None:
            continue
        if pool.kind is PoolKind.SERVICE and route.model is not None:
            yield DocumentFault(path, "a route to a service pool must not have a model")
        elif model is not None and model.pool != route.pool:
            message = f"model {model.name!r} belongs to pool {model.pool!r}"
            yield DocumentFault(path, message)


def _check_policies(checked: _CheckedDocument) -> Iterator[DocumentFault]:
    for position, pool in checked.objects["pools"].items():
        for member, known in _POLICY_REGISTRIES.items():
            name = getattr(pool, member)
            if name is not None and name not in known:
                message = f"unknown policy {name!r}; known: {', '.join(sorted(known))}"
                yield DocumentFault(f"pools[{position}].{member}", message)


def _check_keys(checked: _CheckedDocument) -> Iterator[DocumentFault]:
    owners: dict[str, str] = {}
    for position, workspace in checked.objects["workspaces"].items():
        for index, digest in enumerate(workspace.key_digests):
            path = f"workspaces[{position}].key_digests[{index}]"
            if digest == EMPTY_KEY_DIGEST:
                yield DocumentFault(path, "this is the digest of an empty key")
            if digest in owners:
                message = f"workspace {owners[digest]!r} already has this key"
                yield DocumentFault(path, message)
            owners[digest] = workspace.name


DOCUMENT_CHECKS = (
    _check_references,
    _check_ranks,
    _check_routes,
    _check_policies,
    _check_keys,
)
