"""Authentication of operator requests."""

import pytest

from bilberryspring.process.operator_authentication import authenticate_operator
from bilberryspring.request.caller_requests import CallerRequest, find_workspace
from bilberryspring.version.index import digest_key, make_index
from bilberryspring.version.objects import Configuration, Workspace

HEADERS = [None, "", "Bearer", "Bearer ", "bearer  ", "Basic k", "k", "Bearer K"]


@pytest.mark.parametrize("header", HEADERS)
def test_missing_or_wrong_key_is_rejected_even_if_the_empty_key_is_configured(header):
    digests = [digest_key("k"), digest_key("")]
    assert authenticate_operator(dict(enumerate(digests)), header) is None
    workspace = Workspace(name="w", key_digests=digests)
    index = make_index(Configuration(workspaces=[workspace]))
    headers = {} if header is None else {"authorization": header}
    found = find_workspace(index, CallerRequest("GET", "/", "", headers, b""))
    assert found is not workspace


def test_authorization_scheme_is_case_insensitive():
    assert authenticate_operator({"ayse": digest_key("k")}, "BEARER k") == "ayse"
