"""Deltas between configuration versions, and the digests that verify them.

The digest of a configuration is the sum of the digests of its objects. A node that
applies a small delta can therefore verify the result without encoding every object.
"""

import json
from dataclasses import dataclass

from pydantic import ValidationError

from bilberryspring.identifiers import digest_content
from bilberryspring.malformed_input import MALFORMED_ERRORS, require_int, require_text
from bilberryspring.request.errors import ErrorKind, Failure, make_failure
from bilberryspring.version.objects import (
    SECTION_MODELS,
    Configuration,
    NamedObject,
    Section,
    list_section,
)

__all__ = [
    "ConfigurationDelta",
    "SectionDelta",
    "compare_configurations",
    "apply_delta",
    "encode_delta",
    "decode_delta",
    "encode_object",
    "digest_configuration",
]

DIGEST_MODULUS = 1 << 128


@dataclass(frozen=True, slots=True)
class SectionDelta:
    """Changes of one section.

    :param changed: objects that are new or have different content.
    :param removed: names of objects that no longer exist.
    """

    changed: tuple[NamedObject, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """Changes from one configuration version to another.

    :param base_version: version that the delta applies to.
    :param version: version that results from the delta.
    :param base_digest: digest of the configuration that the delta applies to.
    :param digest: digest of the resulting configuration.
    :param sections: changes by section; sections without a change are absent.
    """

    base_version: int
    version: int
    base_digest: str
    digest: str
    sections: dict[Section, SectionDelta]


def encode_object(item: NamedObject) -> str:
    """Return the canonical encoding of one object.

    :param item: a validated object.
    :returns: JSON with sorted members, without members that have their default value.
    """
    members = item.model_dump(mode="json", exclude_defaults=True)
    return json.dumps(members, sort_keys=True, separators=(",", ":"))


def digest_configuration(configuration: Configuration) -> str:
    """Return the digest of a configuration, independent of the order of its objects.

    :param configuration: a validated configuration.
    :returns: digest as 32 hexadecimal digits.

    >>> digest_configuration(Configuration())
    '00000000000000000000000000000000'
    """
    digest_sum = sum(
        _digest_object(section, item)
        for section in SECTION_MODELS
        for item in list_section(configuration, section)
    )
    return _format_digest(digest_sum)


def compare_configurations(
    base: Configuration,
    base_version: int,
    configuration: Configuration,
    version: int,
) -> ConfigurationDelta:
    """Return the delta from one configuration to another.

    :param base: configuration that the delta applies to.
    :param base_version: version number of ``base``.
    :param configuration: configuration that results from the delta.
    :param version: version number of ``configuration``.
    :returns: the delta, with the digests of both configurations.
    """
    sections: dict[Section, SectionDelta] = {}
    for section in SECTION_MODELS:
        before = {item.name: item for item in list_section(base, section)}
        after = {item.name: item for item in list_section(configuration, section)}
        changed = tuple(
            item for name, item in after.items() if before.get(name) != item
        )
        removed = tuple(name for name in before if name not in after)
        if changed or removed:
            sections[section] = SectionDelta(changed, removed)
    return ConfigurationDelta(
        base_version=base_version,
        version=version,
        base_digest=digest_configuration(base),
        digest=digest_configuration(configuration),
        sections=sections,
    )


def apply_delta(
    base: Configuration, base_digest: str, delta: ConfigurationDelta
) -> Configuration | Failure:
    """Return the configuration that results from a delta.

    :param base: configuration that the delta applies to.
    :param base_digest: digest of ``base``.
    :param delta: changes from ``base`` to a newer version.
    :returns: the newer configuration, or a failure if the digest of either one does not
        match the delta.
    """
    if base_digest != delta.base_digest:
        return _make_invalid_delta("the delta applies to a different configuration")
    digest_sum = int(base_digest, 16)
    lists: dict[Section, list[NamedObject]] = {}
    for section in SECTION_MODELS:
        objects = list_section(base, section)
        change = delta.sections.get(section)
        if change is None:
            lists[section] = objects
            continue
        by_name = {item.name: item for item in objects}
        for name in change.removed:
            if name in by_name:
                digest_sum -= _digest_object(section, by_name.pop(name))
        for item in change.changed:
            if item.name in by_name:
                digest_sum -= _digest_object(section, by_name[item.name])
            digest_sum += _digest_object(section, item)
            by_name[item.name] = item
        lists[section] = list(by_name.values())
    if _format_digest(digest_sum) != delta.digest:
        return _make_invalid_delta("the result does not match the delta's digest")
    return Configuration.model_construct(**lists)


def encode_delta(delta: ConfigurationDelta) -> bytes:
    """Encode a delta.

    :param delta: the delta.
    :returns: JSON in UTF-8.
    """
    sections = {
        section: {
            "changed": [json.loads(encode_object(item)) for item in change.changed],
            "removed": list(change.removed),
        }
        for section, change in delta.sections.items()
    }
    document = {
        "base_version": delta.base_version,
        "version": delta.version,
        "base_digest": delta.base_digest,
        "digest": delta.digest,
        "sections": sections,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode_delta(raw: bytes) -> ConfigurationDelta | Failure:
    """Decode and validate a delta.

    :param raw: JSON in UTF-8.
    :returns: the delta, or a failure if the content is malformed.

    >>> decode_delta(b"{}").reason
    "malformed delta: KeyError: 'base_version'"
    """
    try:
        document = json.loads(raw)
        sections: dict[Section, SectionDelta] = {}
        stated_sections = document.get("sections", {})
        if not isinstance(stated_sections, dict):
            raise ValueError("sections must be an object")
        for section, change in stated_sections.items():
            sections[section] = _decode_section(section, change)
        return ConfigurationDelta(
            base_version=require_int(document["base_version"], "base_version", 0),
            version=require_int(document["version"], "version", 0),
            base_digest=require_text(document["base_digest"], "base_digest"),
            digest=require_text(document["digest"], "digest"),
            sections=sections,
        )
    except MALFORMED_ERRORS as error:
        return _make_invalid_delta(f"malformed delta: {type(error).__name__}: {error}")


def _decode_section(section: str, change: object) -> SectionDelta:
    if section not in SECTION_MODELS:
        raise ValueError(f"sections must not have {section!r}")
    if not isinstance(change, dict):
        raise ValueError(f"{section} must be an object")
    for name in ("changed", "removed"):
        if not isinstance(change.get(name), list):
            raise ValueError(f"{section} must have the list {name}")
    try:
        changed = tuple(map(SECTION_MODELS[section].model_validate, change["changed"]))
    except ValidationError as error:
        raise ValueError(f"{section}.changed: {error}") from error
    removed = (require_text(name, f"{section}.removed") for name in change["removed"])
    return SectionDelta(changed, tuple(removed))


def _digest_object(section: Section, item: NamedObject) -> int:
    return int(digest_content(f"{section} {encode_object(item)}".encode()), 16)


def _format_digest(digest_sum: int) -> str:
    return f"{digest_sum % DIGEST_MODULUS:032x}"


def _make_invalid_delta(reason: str) -> Failure:
    return make_failure(ErrorKind.CONFIGURATION_INVALID, reason)
