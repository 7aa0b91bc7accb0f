"""Messages about the limits that backend servers state, and their Cap'n Proto codec."""

from dataclasses import dataclass
from pathlib import Path

import capnp

from bilberryspring.connection.cold_messages import (
    ColdReport,
    decode_cold_report,
    encode_cold_report,
)
from bilberryspring.connection.load_messages import NameHash
from bilberryspring.malformed_input import MALFORMED_ERRORS
from bilberryspring.request.errors import ErrorKind, Failure, make_failure

__all__ = [
    "CREDIT_PREFIX",
    "CreditMessage",
    "LimitReport",
    "decode_credit_message",
    "decode_limit_report",
    "encode_credit_message",
    "encode_limit_report",
]

# Begins each datagram with a credit message. Decoders of other messages refuse it, as
# it announces more segments than a datagram holds.
CREDIT_PREFIX = b"\xff" * 5
MAX_CREDITS = 64
# Rates beyond these are not those of a server's answer.
MIN_RATE_PER_S, MAX_RATE_PER_S = 0.01, 1e9
_schema = capnp.load(str(Path(__file__).with_name("limit_messages.capnp")))


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Statement of a backend server on its limit, passed on among routers.

    :param server: hash of the server's id.
    :param started_at_ms: start of the server, as Unix time in milliseconds.
    :param rate_per_s: requests per second that it takes from all routers together;
        ``None`` if it stated that it has no limit any more.
    :param sent_age_s: seconds since the request was sent whose answer made the
        statement, when the report was sent.
    :param received_age_s: seconds since that answer arrived, when the report was sent.
    :param statement_id: random number that the router drew which got the answer.
    """

    server: NameHash
    started_at_ms: int
    rate_per_s: float | None
    sent_age_s: float
    received_age_s: float
    statement_id: int


@dataclass(frozen=True, slots=True)
class CreditMessage:
    """Question for credit to send requests to a server, or the reply to one.

    :param server: hash of the server's id.
    :param started_at_ms: start of the server, as Unix time in milliseconds.
    :param number: number of the question, which the reply repeats.
    :param is_reply: whether this is a reply.
    :param credits: number of requests that the sender wants to send; in a reply, the
        number that the receiver may send.
    :param retry_s: in a reply, seconds until another question may be granted.
    :param statement: latest statement of the server that the sender knows.
    :param cold: latest observation that the server is cold, or warm.
    :param has_vote: whether the sender asks for the receiver's vote, to be the only
        router that gives credit for the server; in a reply, whether it has it.
    :param is_starting: whether the sender has started lately and gives no credit yet.
    :param releases_vote: whether the sender gives back the receiver's vote.
    """

    server: NameHash
    started_at_ms: int
    number: int
    is_reply: bool
    credits: int
    retry_s: float = 0.0
    statement: LimitReport | None = None
    cold: ColdReport | None = None
    has_vote: bool = False
    is_starting: bool = False
    releases_vote: bool = False


def encode_limit_report(report: LimitReport) -> dict[str, object]:
    """Return the fields of a statement in a message.

    :param report: the statement.
    """
    return {
        "server": report.server,
        "startedAtMs": min(max(report.started_at_ms, 0), 2**64 - 1),
        "ratePerS": report.rate_per_s or 0.0,
        "sentAgeMs": _encode_ms(report.sent_age_s),
        "receivedAgeMs": _encode_ms(report.received_age_s),
        "statementId": report.statement_id,
    }


def decode_limit_report(entry) -> LimitReport:
    """Decode a statement.

    :param entry: statement in a message.
    :raises ValueError: if its rate is not a number of requests per second.
    """
    rate_per_s = entry.ratePerS
    if rate_per_s and not MIN_RATE_PER_S <= rate_per_s <= MAX_RATE_PER_S:
        raise ValueError(f"a limit of {rate_per_s} requests per second")
    return LimitReport(
        NameHash(entry.server),
        entry.startedAtMs,
        rate_per_s or None,
        entry.sentAgeMs / 1000,
        entry.receivedAgeMs / 1000,
        entry.statementId,
    )


def encode_credit_message(message: CreditMessage) -> bytes:
    """Encode a question or reply so that it fits into one datagram.

    :param message: the message.
    :returns: the prefix, and packed Cap'n Proto bytes.
    """
    statements = [] if message.statement is None else [message.statement]
    cold_servers = [] if message.cold is None else [message.cold]
    packed = _schema.CreditMessage.new_message(
        server=message.server,
        startedAtMs=min(max(message.started_at_ms, 0), 2**64 - 1),
        number=message.number & 0xFFFF_FFFF,
        isReply=message.is_reply,
        credits=min(message.credits, MAX_CREDITS),
        retryMs=_encode_ms(message.retry_s),
        statements=[encode_limit_report(each) for each in statements],
        coldServers=[encode_cold_report(each) for each in cold_servers],
        hasVote=message.has_vote,
        isStarting=message.is_starting,
        releasesVote=message.releases_vote,
    ).to_bytes_packed()
    return CREDIT_PREFIX + packed


def decode_credit_message(data: bytes) -> CreditMessage | Failure:
    """Decode a question or reply.

    :param data: content of one datagram.
    :returns: the message, or a ``MALFORMED_REQUEST`` failure.
    """
    try:
        if not data.startswith(CREDIT_PREFIX):
            raise ValueError("no credit message")
        packed = data.removeprefix(CREDIT_PREFIX)
        message = _schema.CreditMessage.from_bytes_packed(packed)
        lengths = len(message.statements), len(message.coldServers)
        if max(lengths) > 1 or message.credits > MAX_CREDITS:
            return make_failure(
                ErrorKind.MALFORMED_REQUEST,
                f"malformed credit message: {lengths[0]} statements,"
                f" {lengths[1]} cold servers, {message.credits} credits",
            )
        statements = [decode_limit_report(each) for each in message.statements]
        cold_servers = [decode_cold_report(each) for each in message.coldServers]
        return CreditMessage(
            NameHash(message.server),
            message.startedAtMs,
            message.number,
            message.isReply,
            message.credits,
            message.retryMs / 1000,
            statements[0] if statements else None,
            cold_servers[0] if cold_servers else None,
            message.hasVote,
            message.isStarting,
            message.releasesVote,
        )
    except MALFORMED_ERRORS as error:
        return make_failure(
            ErrorKind.MALFORMED_REQUEST, f"malformed credit message: {error}"
        )


def _encode_ms(time_s: float) -> int:
    return min(max(round(time_s * 1000), 0), 0xFFFF_FFFE)
