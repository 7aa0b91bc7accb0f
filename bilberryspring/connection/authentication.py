"""Mutual authentication of two processes that share the fleet secret.

The listening side sends a nonce first. The connecting side replies with its own nonce
and a proof, and the listening side completes the handshake with its proof. Each proof
is an HMAC over a role label, both nonces and the prover's instance id. The nonces
prevent the replay of a recorded proof, and the role label prevents a process from
returning a peer's own proof to it.
"""

import asyncio
import hashlib
import hmac
import secrets
from dataclasses import replace

from bilberryspring.connection.frames import (
    MAX_HANDSHAKE_FRAME_BYTES,
    read_frame,
    write_frame,
)
from bilberryspring.connection.messages import Hello, Message
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = ["compute_proof", "authenticate_as_listener", "authenticate_as_connector"]

NONCE_BYTES = 16
LISTENER_ROLE = b"listener"
CONNECTOR_ROLE = b"connector"


def compute_proof(
    secret: str,
    role: bytes,
    prover_nonce: bytes,
    verifier_nonce: bytes,
    instance_id: str,
) -> bytes:
    """Compute the HMAC that proves knowledge of the fleet secret.

    :param secret: secret shared by all processes of the fleet.
    :param role: role of the prover, :data:`LISTENER_ROLE` or :data:`CONNECTOR_ROLE`.
    :param prover_nonce: nonce chosen by the prover.
    :param verifier_nonce: nonce chosen by the verifier.
    :param instance_id: instance id of the prover.
    :returns: HMAC-SHA256 digest of 32 bytes.

    >>> len(compute_proof("secret", b"listener", b"a", b"b", "agent-1"))
    32
    """
    signed_parts = (role, prover_nonce, verifier_nonce, instance_id.encode())
    signed_bytes = b"".join(
        len(part).to_bytes(4, "little") + part for part in signed_parts
    )
    return hmac.digest(secret.encode(), signed_bytes, hashlib.sha256)


async def _read_hello(reader: asyncio.StreamReader) -> Message | Failure | None:
    return await read_frame(reader, max_bytes=MAX_HANDSHAKE_FRAME_BYTES)


async def authenticate_as_listener(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    own_hello: Hello,
) -> Hello | Failure:
    """Run the listening side of the handshake on an accepted connection.

    :param reader: stream from the connecting process.
    :param writer: stream to the connecting process.
    :param secret: secret shared by all processes of the fleet.
    :param own_hello: hello of this process, without nonce and proof.
    :returns: the authenticated hello of the connecting process, or an
        ``UNAUTHENTICATED`` failure.
    :raises OSError: if the connection breaks.
    """
    own_nonce = secrets.token_bytes(NONCE_BYTES)
    write_frame(writer, replace(own_hello, nonce=own_nonce))
    hello = await _read_hello(reader)
    if not isinstance(hello, Hello):
        return make_failure(ErrorKind.UNAUTHENTICATED, "expected a hello frame")
    proof = compute_proof(
        secret, CONNECTOR_ROLE, hello.nonce, own_nonce, hello.instance_id
    )
    if not hmac.compare_digest(proof, hello.proof):
        return make_failure(
            ErrorKind.UNAUTHENTICATED, "the connector's proof does not match"
        )
    proof = compute_proof(
        secret, LISTENER_ROLE, own_nonce, hello.nonce, own_hello.instance_id
    )
    write_frame(writer, replace(own_hello, nonce=own_nonce, proof=proof))
    return hello


async def authenticate_as_connector(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    own_hello: Hello,
) -> Hello | Failure:
    """Run the connecting side of the handshake on an opened connection.

    :param reader: stream from the listening process.
    :param writer: stream to the listening process.
    :param secret: secret shared by all processes of the fleet.
    :param own_hello: hello of this process, without nonce and proof.
    :returns: the authenticated hello of the listening process, or an
        ``UNAUTHENTICATED`` failure.
    :raises OSError: if the connection breaks.
    """
    challenge = await _read_hello(reader)
    if not isinstance(challenge, Hello):
        return make_failure(ErrorKind.UNAUTHENTICATED, "expected a hello frame")
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = compute_proof(
        secret, CONNECTOR_ROLE, nonce, challenge.nonce, own_hello.instance_id
    )
    write_frame(writer, replace(own_hello, nonce=nonce, proof=proof))
    hello = await _read_hello(reader)
    if not isinstance(hello, Hello):
        return make_failure(
            ErrorKind.UNAUTHENTICATED,
            "received no hello frame with the listener's proof",
        )
    expected = compute_proof(
        secret, LISTENER_ROLE, challenge.nonce, nonce, hello.instance_id
    )
    if not hmac.compare_digest(expected, hello.proof):
        return make_failure(
            ErrorKind.UNAUTHENTICATED, "the listener's proof does not match"
        )
    return hello
