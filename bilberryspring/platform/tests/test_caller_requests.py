"""Decoding of callers' requests.

Guards against header values that raise inside the handler instead of being refused.
"""

import pytest

from bilberryspring.capability.routing import CallerLimits, make_routing_table
from bilberryspring.capability.store_position import StorePosition
from bilberryspring.connection.http_caller import HttpRequest
from bilberryspring.identifiers import StoreEpoch
from bilberryspring.platform.caller_requests import decode_request
from bilberryspring.request.errors import ErrorKind, Failure
from bilberryspring.request.tests.relay_fixtures import make_route

HEADERS = {"Host": "a.example", "Attempt-Id": "q1", "Deadline-Ms": "3000"}


def decode(**changes):
    fields = HEADERS | {name.replace("_", "-"): text for name, text in changes.items()}
    headers = [(name.encode(), text.encode()) for name, text in fields.items()]
    table = make_routing_table(
        1, StorePosition(StoreEpoch(1), 1), [make_route()], [], None, CallerLimits()
    )
    return decode_request(HttpRequest("POST", b"/x", headers, b"", 0.0), table)


def test_request_is_decoded():
    request = decode(Token_Counts="10,5", Length_Hint="7", Prompt_Prefix="a:10")
    assert request.deadline_s == 3.0
    assert request.prompt.hinted_output_tokens == 7


@pytest.mark.parametrize("deadline_ms", ["nan", "inf", "-inf", "1e999", "soon"])
def test_unusable_deadline_is_refused(deadline_ms):
    decoded = decode(Deadline_Ms=deadline_ms)
    assert isinstance(decoded, Failure)
    assert decoded.kind is ErrorKind.MALFORMED_REQUEST


@pytest.mark.parametrize("hint", ["nan", "inf", "many"])
def test_unusable_length_hint_is_refused(hint):
    decoded = decode(Token_Counts="10,5", Length_Hint=hint)
    assert isinstance(decoded, Failure)
    assert decoded.kind is ErrorKind.MALFORMED_REQUEST


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Token_Counts", "9" * 4_000 + ",1"),
        ("Token_Counts", "1,-5"),
        ("Prompt_Prefix", "a:" + "9" * 400),
        ("Prompt_Prefix", "a:-3"),
        ("Length_Hint", "1e300"),
    ],
)
def test_number_of_tokens_out_of_range_is_refused(name, value):
    decoded = decode(**{"Token_Counts": "5,5", "Prompt_Prefix": "a:5", name: value})
    assert isinstance(decoded, Failure)
    assert decoded.kind is ErrorKind.MALFORMED_REQUEST
