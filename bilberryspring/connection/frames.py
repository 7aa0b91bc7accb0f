"""Cap'n Proto codec for messages, and their framing on a byte stream.

A frame is a four-byte little-endian length prefix followed by one Cap'n Proto message.
The schema is loaded at run time, so the build needs no code generator.
"""

import asyncio
import itertools
import struct
from dataclasses import fields
from pathlib import Path
from typing import Any

import capnp

from bilberryspring.connection import messages
from bilberryspring.connection.messages import Message
from bilberryspring.malformed_input import MALFORMED_ERRORS, describe_error
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "MAX_FRAMES_PER_TURN",
    "MAX_FRAME_BYTES",
    "MAX_HANDSHAKE_FRAME_BYTES",
    "UNKNOWN_FRAME_FAILURE",
    "encode_frame",
    "decode_frame",
    "read_frame",
    "write_frame",
]

MAX_FRAME_BYTES = 72_000_000
# Frames of a handshake come from a process that has not proved its identity.
MAX_HANDSHAKE_FRAME_BYTES = 64 * 1024
# Frames that have arrived are read without a wait; other tasks run after this many.
MAX_FRAMES_PER_TURN = 64
# Bounds the work of reading a message whose pointers refer to the same words many
# times: at most four times the words of the largest frame may be traversed.
TRAVERSAL_LIMIT_WORDS = 4 * MAX_FRAME_BYTES // 8
LENGTH_PREFIX = struct.Struct("<I")
UNKNOWN_FRAME_FAILURE = make_failure(ErrorKind.MALFORMED_REQUEST, "unknown frame type")
# Part of the exception text for a union discriminant that is not in the schema.
UNKNOWN_MEMBER_ERROR_TEXT = "non-union type"

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("schema.capnp")))


def _to_camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


_SCALAR_TYPES = (messages.Ping, messages.Pong)
_UNION_NAMES = {
    getattr(messages, name): name.lower()
    for name in messages.__all__
    if name != "Message"
}
_TYPES_BY_UNION_NAME = {
    union_name: message_type for message_type, union_name in _UNION_NAMES.items()
}
_FIELD_NAMES: dict[type, list[tuple[str, str]]] = {
    message_type: [
        (field.name, _to_camel_case(field.name)) for field in fields(message_type)
    ]
    for message_type in _UNION_NAMES
}
# Access by schema field avoids a lookup by field name for every value that is read.
_UNION_FIELDS = {
    message_type: _schema.Frame.schema.fields[name]
    for message_type, name in _UNION_NAMES.items()
}
_STRUCT_FIELDS = {
    message_type: [
        union_field.schema.fields[wire_name]
        for _, wire_name in _FIELD_NAMES[message_type]
    ]
    for message_type, union_field in _UNION_FIELDS.items()
    if message_type not in _SCALAR_TYPES
}


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame.

    :param message: message to encode.
    :returns: length prefix and Cap'n Proto bytes.

    >>> frame = encode_frame(messages.Ping(7))
    >>> decode_frame(frame[4:])
    Ping(number=7)
    """
    message_type = type(message)
    root = _schema.Frame.new_message()
    if message_type in _SCALAR_TYPES:
        setattr(root, _UNION_NAMES[message_type], message.number)
    else:
        struct_builder = root.init(_UNION_NAMES[message_type])
        for name, wire_name in _FIELD_NAMES[message_type]:
            value = getattr(message, name)
            if value:
                setattr(struct_builder, wire_name, value)
    payload = root.to_bytes()
    return LENGTH_PREFIX.pack(len(payload)) + payload


def decode_frame(payload: bytes) -> Message | Failure:
    """Decode the message in a frame.

    :param payload: Cap'n Proto bytes without the length prefix.
    :returns: the message, or a ``MALFORMED_REQUEST`` failure.
    """
    try:
        with _schema.Frame.from_bytes(
            payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as root:
            return _read_message(root)
    except MALFORMED_ERRORS as error:
        reason = f"malformed frame: {describe_error(error)}"
        return make_failure(ErrorKind.MALFORMED_REQUEST, reason)


def _read_message(root: Any) -> Message | Failure:
    message_type = _TYPES_BY_UNION_NAME.get(_read_union_name(root))
    if message_type is None:
        return UNKNOWN_FRAME_FAILURE
    content = root._get_by_field(_UNION_FIELDS[message_type])
    if message_type in _SCALAR_TYPES:
        return message_type(content)
    return message_type(*map(content._get_by_field, _STRUCT_FIELDS[message_type]))


def _read_union_name(root: Any) -> str:
    """Return the union member that is set, empty if this version does not know it."""
    try:
        return root._which_str()
    except capnp.KjException as error:
        if UNKNOWN_MEMBER_ERROR_TEXT not in str(error):
            raise
        return ""


async def read_frame(
    reader: asyncio.StreamReader,
    *,
    skip_unknown: bool = False,
    max_bytes: int = MAX_FRAME_BYTES,
) -> Message | Failure | None:
    """Read the next message from a stream.

    :param reader: stream positioned at the start of a frame.
    :param skip_unknown: skip frames of a type that this version does not know, instead
        of returning a failure for them.
    :param max_bytes: size of the largest frame.
    :returns: the message; ``None`` at the end of the stream; or a failure for a frame
        that is too large, truncated or malformed.
    :raises OSError: if the connection breaks.
    """
    for number in itertools.count(1):
        if number % MAX_FRAMES_PER_TURN == 0:
            await asyncio.sleep(0)
        payload = await _read_payload(reader, max_bytes)
        if not isinstance(payload, bytes):
            return payload
        message = decode_frame(payload)
        if message is not UNKNOWN_FRAME_FAILURE or not skip_unknown:
            return message


async def _read_payload(
    reader: asyncio.StreamReader, max_bytes: int
) -> bytes | Failure | None:
    try:
        prefix = await reader.readexactly(LENGTH_PREFIX.size)
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        return make_failure(ErrorKind.MALFORMED_REQUEST, "truncated frame length")
    (size_bytes,) = LENGTH_PREFIX.unpack(prefix)
    if size_bytes > max_bytes:
        reason = f"frame of {size_bytes} bytes exceeds {max_bytes}"
        return make_failure(ErrorKind.REQUEST_TOO_LARGE, reason)
    try:
        return await reader.readexactly(size_bytes)
    except asyncio.IncompleteReadError:
        return make_failure(ErrorKind.MALFORMED_REQUEST, "truncated frame")


def write_frame(writer: asyncio.StreamWriter, message: Message) -> int:
    """Write a message to the stream's buffer, without waiting for it to drain.

    :param writer: open stream.
    :param message: message to send.
    :returns: size of the frame in bytes, length prefix included.
    :raises OSError: if the connection is closed.
    """
    if writer.is_closing():  # a write to a closed uvloop transport raises RuntimeError
        raise ConnectionResetError("the connection is closed")
    frame = encode_frame(message)
    writer.write(frame)
    return len(frame)
