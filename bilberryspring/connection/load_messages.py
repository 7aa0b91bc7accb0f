"""Messages of the load exchange between processes, and their Cap'n Proto codec."""

from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path
from typing import NewType

import capnp
import xxhash

from bilberryspring.identifiers import ConfigVersion
from bilberryspring.malformed_input import MALFORMED_ERRORS, require_finite
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "NameHash",
    "hash_name",
    "LoadSample",
    "WorkspaceUsage",
    "LoadMessage",
    "encode_load_message",
    "decode_load_message",
]

MAX_MESSAGE_BYTES = 16_384
MAX_ENTRIES = 256

NameHash = NewType("NameHash", int)

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("load.capnp")))


@lru_cache(maxsize=16_384)
def hash_name(name: str) -> NameHash:
    """Return the 64-bit hash that identifies a name in messages.

    :param name: id of an instance, or name of a pool or workspace.
    :returns: xxh3-64 hash.
    """
    return NameHash(xxhash.xxh3_64_intdigest(name.encode()))


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of one agent at one time.

    :param instance: hash of the agent's instance id.
    :param load: unfinished work in the load unit of the pool.
    :param drain_rate: highest rate at which the backend server can currently complete
        work, in load units per second.
    :param age_ms: milliseconds since the sample was taken.
    :param is_leaving: whether the agent is leaving the fleet and rejects new requests.
    """

    instance: NameHash
    load: float
    drain_rate: float
    age_ms: int
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkspaceUsage:
    """Cost rate of a workspace at the sender.

    :param workspace: hash of the workspace's name.
    :param cost_per_s: cost that the workspace uses per second.
    """

    workspace: NameHash
    cost_per_s: float


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """Request or reply of one load exchange; the sender bounds the size of every list.

    :param pool: hash of the name of the pool that the samples belong to.
    :param config_version: active configuration version at the sender.
    :param samples: load samples; an agent puts its own sample first.
    :param usage: workspaces with the highest usage at the sender.
    :param suspects: hashes of the ids of instances that recently failed by the sender's
        observation.
    """

    pool: NameHash
    config_version: ConfigVersion
    samples: tuple[LoadSample, ...] = ()
    usage: tuple[WorkspaceUsage, ...] = ()
    suspects: tuple[NameHash, ...] = ()


def encode_load_message(message: LoadMessage) -> bytes:
    """Return the packed Cap'n Proto encoding of a message.

    :param message: message to encode.
    :returns: encoded message.

    >>> sample = LoadSample(hash_name("agent-1"), 250.0, 80.0, 40)
    >>> message = LoadMessage(hash_name("roll-writer"), ConfigVersion(3), (sample,))
    >>> decode_load_message(encode_load_message(message)) == message
    True
    """
    root = _schema.LoadMessage.new_message()
    root.pool = message.pool
    root.configVersion = message.config_version
    samples = root.init("samples", len(message.samples))
    for builder, sample in zip(samples, message.samples, strict=True):
        builder.instance = sample.instance
        builder.load = sample.load
        builder.drainRate = sample.drain_rate
        builder.ageMs = sample.age_ms
        builder.leaving = sample.is_leaving
    usage = root.init("usage", len(message.usage))
    for builder, workspace_usage in zip(usage, message.usage, strict=True):
        builder.workspace = workspace_usage.workspace
        builder.costPerSecond = workspace_usage.cost_per_s
    root.suspects = list(message.suspects)
    return root.to_bytes_packed()


def decode_load_message(payload: bytes) -> LoadMessage | Failure:
    """Decode a message.

    :param payload: packed Cap'n Proto bytes from a peer.
    :returns: the message, or a ``MALFORMED_REQUEST`` failure.
    """
    if len(payload) > MAX_MESSAGE_BYTES:
        return make_failure(
            ErrorKind.MALFORMED_REQUEST, "the load message is too large"
        )
    try:
        root = _schema.LoadMessage.from_bytes_packed(payload)
        if max(len(root.samples), len(root.usage), len(root.suspects)) > MAX_ENTRIES:
            raise ValueError("a list has too many entries")
        return LoadMessage(
            NameHash(root.pool),
            ConfigVersion(root.configVersion),
            tuple(
                LoadSample(
                    sample.instance,
                    require_finite(sample.load, "load", lowest=0),
                    require_finite(sample.drainRate, "drainRate", lowest=0),
                    sample.ageMs,
                    sample.leaving,
                )
                for sample in root.samples
            ),
            tuple(
                WorkspaceUsage(
                    entry.workspace,
                    require_finite(entry.costPerSecond, "costPerSecond", lowest=0),
                )
                for entry in root.usage
            ),
            tuple(root.suspects),
        )
    except MALFORMED_ERRORS as error:
        reason = f"malformed load message: {str(error).splitlines()[0]}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
