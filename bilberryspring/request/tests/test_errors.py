from bilberryspring.request.errors import ANSWERS, ErrorKind, Outcome


def test_every_error_kind_has_a_response():
    assert set(ANSWERS) == set(ErrorKind)


def test_every_response_has_an_error_status():
    assert all(answer.status >= 400 for answer in ANSWERS.values())
    assert ANSWERS[ErrorKind.CLAIM_STORE_UNAVAILABLE].outcome is Outcome.NOT_RUN
