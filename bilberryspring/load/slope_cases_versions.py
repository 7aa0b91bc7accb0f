"""Slope cases of a configuration change at one node."""

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
    """Return a copy of a configuration with another weight of one workspace.

    :param base: configuration to copy.
    """
    first, *others = base.workspaces
    changed = first.model_copy(update={"weight": first.weight + 1})
    return base.model_copy(update={"workspaces": [changed, *others]})


def _make_delta(base: Configuration) -> ConfigurationDelta:
    return compare_configurations(base, 1, make_small_change(base), 2)


@register_cpu_case("apply the delta of one change", "workspace", WORKSPACE_COUNTS)
def prepare_delta_application(size: int) -> Callable[[], object]:
    """Prepare the application of an announced change, as on each node."""
    base = make_large_configuration(size)
    raw, digest = encode_delta(_make_delta(base)), digest_configuration(base)
    return lambda: apply_delta(base, digest, decode_delta(raw))


@register_cpu_case("put a version in force", "workspace", WORKSPACE_COUNTS)
def prepare_version_adoption(size: int) -> Callable[[], object]:
    """Prepare the replacement of the current version in a process."""
    configuration, holder = make_large_configuration(size), make_holder()
    return lambda: holder.adopt(holder.version + 1, configuration)


@register_cpu_case("compare two versions", "workspace", WORKSPACE_COUNTS)
def prepare_version_comparison(size: int) -> Callable[[], object]:
    """Prepare the comparison of versions, as on the publishing router."""
    base = make_large_configuration(size)
    return lambda: _make_delta(base)


@register_cpu_case("read a whole compressed document", "workspace", WORKSPACE_COUNTS)
def prepare_document_decompression(size: int) -> Callable[[], object]:
    """Prepare the decompression of a document, as on a starting node."""
    document = compress_document(make_large_configuration(size))
    return lambda: decompress_configuration(document)


@register_memory_case("compressed document", "workspace", WORKSPACE_COUNTS)
def build_compressed_document(size: int) -> bytes:
    """Build the compressed document that a node keeps for starting nodes."""
    return compress_document(make_large_configuration(size))


@register_memory_case("log of deltas", "delta", (100, 400, 1600))
def build_delta_log(size: int) -> DeltaLog:
    """Build a log of deltas, from which nodes catch up on missed changes."""
    raw = encode_delta(_make_delta(make_large_configuration(10)))
    log = DeltaLog()
    log.append(1, b"")
    for version in range(2, size + 2):
        log.append(version, bytes(bytearray(raw)))
    return log
