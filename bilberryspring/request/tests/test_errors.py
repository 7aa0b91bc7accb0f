"""Response of each error kind."""

from bilberryspring.request.errors import ERROR_RESPONSES, ErrorKind, Outcome


def test_every_error_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_every_response_has_an_error_status():
    assert all(answer.status >= 400 for answer in ERROR_RESPONSES.values())
    assert ERROR_RESPONSES[ErrorKind.CLAIM_STORE_UNAVAILABLE].outcome is Outcome.NOT_RUN
