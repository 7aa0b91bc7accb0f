"""Program of a router or agent that uses another version of the fleet's messages.

Run as ``python -m bilberryspring.tests.other_version former agent --settings …``. A
former node uses the frame schema of an earlier commit (``former_schema.capnp``), does
not send claims for other agents, and stores its claims as JSON. A later node sends
fields, frame kinds, methods and error kinds that the present version does not know, and
stores its claims in a schema that has more fields.

The codecs load their schemas on import, so the loader is patched before the first
import of a codec.
"""

import base64
import dataclasses
import functools
import json
import re
import secrets
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

import capnp

__all__ = ["PROGRAM_MODULE", "VERSIONS"]

PROGRAM_MODULE = "bilberryspring.tests.other_version"
VERSIONS = ("former", "later")
FORMER_SCHEMA = Path(__file__).with_name("former_schema.capnp")
FIELDS_ADDED_SINCE = {"room_wait_ms"}
LATER = "later"
UNKNOWN_METHOD = "later.method"
PROBE_TIMEOUT_S = 1.0

load_schema = capnp.load


def patch_to_former_version():
    """Patch the frames, claims and call handlers to those of the former version."""

    def load(path):
        return load_schema(str(FORMER_SCHEMA) if is_frame_schema(path) else path)

    capnp.load = load
    original_fields = dataclasses.fields

    def list_former_fields(dataclass_type):
        calling_module = sys._getframe(1).f_globals["__name__"]
        is_codec = calling_module == "bilberryspring.connection.frames"
        excluded = FIELDS_ADDED_SINCE if is_codec else ()
        return tuple(
            each
            for each in original_fields(dataclass_type)
            if each.name not in excluded
        )

    dataclasses.fields = list_former_fields
    from bilberryspring.connection import calls
    from bilberryspring.request import claim_forwarding, claim_protocol, claims

    calls._HANDLERS.pop(claim_forwarding.FORWARD_CALL_NAME)
    claim_protocol.encode_claim_value = encode_json_claim
    claim_protocol.decode_claim_value = decode_json_claim
    claims.secrets = SimpleNamespace(token_bytes=make_text_token)


def is_frame_schema(path):
    return Path(path).name == "schema.capnp"


def make_text_token(size_bytes):
    return secrets.token_hex(size_bytes).encode()


def encode_json_claim(value):
    fields = value.model_dump(exclude_defaults=True)
    fields |= {"state": value.state.value, "token": value.token.decode()}
    if value.body is not None:
        fields["body"] = base64.b64encode(value.body).decode()
    return json.dumps(fields).encode()


def decode_json_claim(raw):
    from bilberryspring.request.claim_values import decode_claim_value

    return decode_claim_value(raw) if raw.startswith(b"{") else None


def patch_to_later_version():
    """Patch the frames, claims and calls to include what this version does not know."""
    capnp.load = load_with_more_fields
    from bilberryspring.connection import frames
    from bilberryspring.connection.link import Link
    from bilberryspring.request import claim_values

    unknown_frame = frames._schema.Frame.new_message(later=LATER).to_bytes()
    unknown_frame = frames.LENGTH_PREFIX.pack(len(unknown_frame)) + unknown_frame
    frames.encode_frame = functools.partial(
        encode_later_frame, frames, frames.encode_frame, unknown_frame
    )
    stored = claim_values._schema.StoredClaim
    claim_values._schema = SimpleNamespace(
        StoredClaim=SimpleNamespace(
            new_message=functools.partial(stored.new_message, later=LATER),
            from_bytes_packed=stored.from_bytes_packed,
        )
    )
    original_call = Link.call

    async def call_after_unknown(self, method, payload, timeout_s):
        await original_call(self, UNKNOWN_METHOD, payload, PROBE_TIMEOUT_S)
        return await original_call(self, method, payload, timeout_s)

    Link.call = call_after_unknown


def encode_later_frame(frames, encode_frame, unknown_frame, message):
    """Return a frame with an unknown field, preceded by a frame of an unknown kind."""
    from bilberryspring.connection.messages import Hello, Ping, Pong, Refused, Reply

    if isinstance(message, Refused) or (isinstance(message, Reply) and message.kind):
        message.kind = LATER
    frame = encode_frame(message)
    if isinstance(message, Ping | Pong):
        return unknown_frame + frame
    with frames._schema.Frame.from_bytes(frame[frames.LENGTH_PREFIX.size :]) as read:
        frame_builder = read.as_builder()
    getattr(frame_builder, frames._UNION_NAMES[type(message)]).later = LATER
    later_payload = frame_builder.to_bytes()
    prefix = b"" if isinstance(message, Hello) else unknown_frame
    return prefix + frames.LENGTH_PREFIX.pack(len(later_payload)) + later_payload


@functools.cache
def load_with_more_fields(path):
    """Load a schema with one more field in each struct and one more kind of frame."""
    sections = re.split(r"(?m)^(?=struct )", Path(path).read_text())
    later_path = Path(tempfile.mkdtemp()) / Path(path).name
    later_path.write_text("".join(map(add_field, sections)))
    return load_schema(str(later_path))


def add_field(section):
    ordinals = [int(each) for each in re.findall(r" @(\d+) :", section)]
    if not section.startswith("struct "):
        return section
    field = f"  {LATER} @{max(ordinals) + 1} :Text;\n"
    if section.startswith("struct Frame"):
        return section.replace("  }\n}", f"  {field}  }}\n}}")
    return re.sub(r"(?m)^}", f"{field}}}", section, count=1)


def main():
    version, role = sys.argv[1:3]
    del sys.argv[1:3]
    {"former": patch_to_former_version, "later": patch_to_later_version}[version]()
    from bilberryspring.process import agent, router

    return {"agent": agent.main, "router": router.main}[role]()


if __name__ == "__main__":
    sys.exit(main())
