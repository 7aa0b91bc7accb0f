"""Routers and agents that speak another version of the fleet's messages.

Run as ``python -m bilberryspring.tests.other_version former agent --settings …``. A
former node has the frames of an earlier commit (``former_schema.capnp``), no batchers
of claims, and JSON claims. A later node sends fields, kinds of frames, methods and
error kinds that nobody else knows, with its claims in a schema that has more fields.

The codecs load their schemas when they are imported, so what loads them is replaced
before that.
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
FIELDS_SINCE = {"room_wait_ms"}
LATER = "later"
UNKNOWN_METHOD = "later.method"
PROBE_TIMEOUT_S = 1.0

load_schema = capnp.load


def speak_former_version():
    def load(path):
        return load_schema(str(FORMER_SCHEMA) if is_frames(path) else path)

    capnp.load = load
    list_fields = dataclasses.fields

    def list_former_fields(kind):
        caller = sys._getframe(1).f_globals["__name__"]
        is_codec = caller == "bilberryspring.connection.frames"
        since = FIELDS_SINCE if is_codec else ()
        return tuple(each for each in list_fields(kind) if each.name not in since)

    dataclasses.fields = list_former_fields
    from bilberryspring.connection import calls
    from bilberryspring.request import claim_forwarding, claim_protocol, claims

    calls._HANDLERS.pop(claim_forwarding.CALL_NAME)
    claim_protocol.encode_claim_value = encode_json_claim
    claim_protocol.decode_claim_value = decode_json_claim
    claims.secrets = SimpleNamespace(token_bytes=make_text_token)


def is_frames(path):
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


def speak_later_version():
    capnp.load = load_with_more_fields
    from bilberryspring.connection import frames
    from bilberryspring.connection.link import Link
    from bilberryspring.request import claim_values

    unknown = frames._schema.Frame.new_message(later=LATER).to_bytes()
    unknown = frames.LENGTH.pack(len(unknown)) + unknown
    frames.encode_frame = functools.partial(
        encode_later_frame, frames, frames.encode_frame, unknown
    )
    stored = claim_values._schema.StoredClaim
    claim_values._schema = SimpleNamespace(
        StoredClaim=SimpleNamespace(
            new_message=functools.partial(stored.new_message, later=LATER),
            from_bytes_packed=stored.from_bytes_packed,
        )
    )
    call = Link.call

    async def call_after_unknown(self, method, payload, timeout_s):
        await call(self, UNKNOWN_METHOD, payload, PROBE_TIMEOUT_S)
        return await call(self, method, payload, timeout_s)

    Link.call = call_after_unknown


def encode_later_frame(frames, encode_frame, unknown, message):
    """Return a frame with an unknown field, after one of an unknown kind."""
    from bilberryspring.connection.messages import Hello, Ping, Pong, Refused, Reply

    if isinstance(message, Refused) or (isinstance(message, Reply) and message.kind):
        message.kind = LATER
    frame = encode_frame(message)
    if isinstance(message, Ping | Pong):
        return unknown + frame
    with frames._schema.Frame.from_bytes(frame[frames.LENGTH.size :]) as read:
        root = read.as_builder()
    getattr(root, frames._UNION_NAMES[type(message)]).later = LATER
    payload = root.to_bytes()
    before = b"" if isinstance(message, Hello) else unknown
    return before + frames.LENGTH.pack(len(payload)) + payload


@functools.cache
def load_with_more_fields(path):
    """Load a schema whose structs all have a further field, and frames a kind."""
    parts = re.split(r"(?m)^(?=struct )", Path(path).read_text())
    later = Path(tempfile.mkdtemp()) / Path(path).name
    later.write_text("".join(map(add_field, parts)))
    return load_schema(str(later))


def add_field(struct):
    ordinals = [int(each) for each in re.findall(r" @(\d+) :", struct)]
    if not struct.startswith("struct "):
        return struct
    field = f"  {LATER} @{max(ordinals) + 1} :Text;\n"
    if struct.startswith("struct Frame"):
        return struct.replace("  }\n}", f"  {field}  }}\n}}")
    return re.sub(r"(?m)^}", f"{field}}}", struct, count=1)


def main():
    version, role = sys.argv[1:3]
    del sys.argv[1:3]
    {"former": speak_former_version, "later": speak_later_version}[version]()
    from bilberryspring.process import agent, router

    return {"agent": agent.main, "router": router.main}[role]()


if __name__ == "__main__":
    sys.exit(main())
