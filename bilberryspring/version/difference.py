"""Human-readable differences between two configurations."""

from dataclasses import dataclass
from enum import Enum

from bilberryspring.version.objects import (
    SECTION_MODELS,
    Configuration,
    NamedObject,
    Section,
    list_section,
)

__all__ = ["ChangeKind", "ObjectDifference", "list_differences"]


class ChangeKind(Enum):
    """Kind of change of an object; the value marks it in a listing."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class ObjectDifference:
    """Difference in one object.

    :param kind: kind of the change.
    :param section: section that the object belongs to.
    :param name: name of the object.
    :param members: changed members, each as ``name: before -> after``; empty for an
        added or a removed object.
    """

    kind: ChangeKind
    section: Section
    name: str
    members: tuple[str, ...] = ()

    def __str__(self) -> str:
        text = f"{self.kind.value} {self.section}/{self.name}"
        return f"{text} ({', '.join(self.members)})" if self.members else text


def list_differences(
    base: Configuration, configuration: Configuration
) -> list[ObjectDifference]:
    """List the objects that differ between two configurations.

    :param base: the older configuration.
    :param configuration: the newer configuration.
    :returns: one entry per object, sorted by name within each section.

    >>> from bilberryspring.version.objects import Pool
    >>> pools = [Pool(name="p", kind="service")]
    >>> print(*list_differences(Configuration(), Configuration(pools=pools)))
    + pools/p
    """
    differences: list[ObjectDifference] = []
    for section in SECTION_MODELS:
        before = {item.name: item for item in list_section(base, section)}
        after = {item.name: item for item in list_section(configuration, section)}
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) == after.get(name):
                continue
            differences.append(
                _make_difference(section, name, before.get(name), after.get(name))
            )
    return differences


def _make_difference(
    section: Section, name: str, before: NamedObject | None, after: NamedObject | None
) -> ObjectDifference:
    if before is None:
        return ObjectDifference(ChangeKind.ADDED, section, name)
    if after is None:
        return ObjectDifference(ChangeKind.REMOVED, section, name)
    old, new = before.model_dump(mode="json"), after.model_dump(mode="json")
    members = tuple(
        f"{member}: {old[member]} -> {new[member]}"
        for member in old
        if old[member] != new[member]
    )
    return ObjectDifference(ChangeKind.CHANGED, section, name, members)
