"""Slope cases of one configuration change at one node."""

from collections.abc import Callable

from bilberryspring.load.slope_cases import WORKSPACE_COUNTS, make_large_configuration
from bilberryspring.load.slopes import register_cpu_case, register_memory_case
from bilberryspring.version.delta import (
    ConfigurationDelta,
    apply_delta,
    compare_configurations,
    decode_delta,
    digest_configuration,
    encode_delta,
)
from bilberryspring.version.holder import make_holder
from bilberryspring.version.objects import Configuration
from bilberryspring.version.record import compress_document, decompress_configuration
from bilberryspring.version.updates import DeltaLog

__all__ = ["make_small_change"]


def make_small_change(base: Configuration) -> Configuration:
    """Return a configuration in which one workspace has another weight.

    :param base: configuration to change.
    """
    first, *others = base.workspaces
    changed = first.model_copy(update={"weight": first.weight + 1})
    return base.model_copy(update={"workspaces": [changed, *others]})


def _make_delta(base: Configuration) -> ConfigurationDelta:
    return compare_configurations(base, 1, make_small_change(base), 2)


@register_cpu_case("apply the delta of one change", "workspace", WORKSPACE_COUNTS)
def prepare_delta_application(size: int) -> Callable[[], object]:
    """Prepare what each node does with an announced change."""
    base = make_large_configuration(size)
    raw, digest = encode_delta(_make_delta(base)), digest_configuration(base)
    return lambda: apply_delta(base, digest, decode_delta(raw))


@register_cpu_case("put a version in force", "workspace", WORKSPACE_COUNTS)
def prepare_version_adoption(size: int) -> Callable[[], object]:
    """Prepare the adoption of a version by the holder."""
    configuration, holder = make_large_configuration(size), make_holder()
    return lambda: holder.adopt(holder.version + 1, configuration)


@register_cpu_case("compare two versions", "workspace", WORKSPACE_COUNTS)
def prepare_version_comparison(size: int) -> Callable[[], object]:
    """Prepare what the publishing router does."""
    base = make_large_configuration(size)
    return lambda: _make_delta(base)


@register_cpu_case("read a whole compressed document", "workspace", WORKSPACE_COUNTS)
def prepare_document_decompression(size: int) -> Callable[[], object]:
    """Prepare what a starting node does."""
    document = compress_document(make_large_configuration(size))
    return lambda: decompress_configuration(document)


@register_memory_case("compressed document", "workspace", WORKSPACE_COUNTS)
def build_compressed_document(size: int) -> bytes:
    """Build the document that a node keeps for starting nodes."""
    return compress_document(make_large_configuration(size))


@register_memory_case("log of deltas", "delta", (100, 400, 1600))
def build_delta_log(size: int) -> DeltaLog:
    """Build the log that helps a node that missed changes."""
    raw = encode_delta(_make_delta(make_large_configuration(10)))
    log = DeltaLog()
    log.append(1, b"")
    for version in range(2, size + 2):
        log.append(version, bytes(bytearray(raw)))
    return log
