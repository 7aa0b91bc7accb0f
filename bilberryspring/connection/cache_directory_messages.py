"""Messages of the KV cache directory and their Cap'n Proto codec."""

from dataclasses import dataclass
from pathlib import Path

import capnp

from bilberryspring.identifiers import ChatKey, EngineVersion, InstanceId
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["CacheLocation", "encode_location", "decode_location"]

MAX_MESSAGE_BYTES = 4_096

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("directory.capnp")))


@dataclass(frozen=True, slots=True)
class CacheLocation:
    """Directory entry: which instance holds the KV cache of a chat's prompt.

    :param chat_key: key of the chat.
    :param holder: agent of the engine that computed the prompt.
    :param prefix_digest: digest by which the engine identifies the cached prefix.
    :param message_count: number of messages in the prompt.
    :param messages_digest: digest of these messages.
    :param tokens: estimated size of the prompt in tokens.
    :param engine_version: only engines of this version can use the KV cache.
    """

    chat_key: ChatKey
    holder: InstanceId
    prefix_digest: str
    message_count: int
    messages_digest: str
    tokens: int
    engine_version: EngineVersion


def encode_location(location: CacheLocation) -> bytes:
    """Return the packed Cap'n Proto encoding of a location.

    :param location: location to encode.
    :returns: encoded message.

    >>> location = CacheLocation("c", "agent-1", "d", 3, "e", 900, "engine-1")
    >>> decode_location(encode_location(location)) == location
    True
    """
    root = _schema.CacheLocation.new_message(
        chatKey=location.chat_key,
        holder=location.holder,
        prefixDigest=location.prefix_digest,
        messageCount=location.message_count,
        messagesDigest=location.messages_digest,
        tokens=location.tokens,
        engineVersion=location.engine_version,
    )
    return root.to_bytes_packed()


def decode_location(payload: bytes) -> CacheLocation | Failure:
    """Decode a location.

    :param payload: packed Cap'n Proto bytes from a peer.
    :returns: the location, or a ``MALFORMED_REQUEST`` failure.
    """
    if len(payload) > MAX_MESSAGE_BYTES:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "the location is too large")
    try:
        root = _schema.CacheLocation.from_bytes_packed(payload)
        return CacheLocation(
            ChatKey(root.chatKey),
            InstanceId(root.holder),
            root.prefixDigest,
            root.messageCount,
            root.messagesDigest,
            root.tokens,
            EngineVersion(root.engineVersion),
        )
    except MALFORMED_ERRORS as error:
        reason = f"malformed location: {str(error).splitlines()[0]}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)
