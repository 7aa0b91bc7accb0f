"""Every caller's request becomes an encodable message for agents or is refused."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryspring.connection.frames import encode_frame
from bilberryspring.connection.messages import Open
from bilberryspring.request.caller_requests import (
    CallerRequest,
    ResolvedChat,
    resolve_chat,
    resolve_service,
)
from bilberryspring.request.errors import Failure
from bilberryspring.tests.documents import make_document
from bilberryspring.version.document import check_document
from bilberryspring.version.index import make_index

INDEX = make_index(check_document(json.dumps(make_document()).encode()))
WORKSPACE = INDEX.workspaces["first"]
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([2**32, 10**400, "\ud800", "model", "urgent", [], {}])
)
MESSAGE = st.fixed_dictionaries(
    {"role": st.sampled_from(["user", "system"]) | SCALARS, "content": SCALARS},
    optional={"name": SCALARS},
)
CHAT_DOCUMENTS = st.fixed_dictionaries(
    {
        "model": st.sampled_from(["model", "chat", "orders", "none"]) | SCALARS,
        "messages": st.lists(MESSAGE, max_size=3) | SCALARS,
    },
    optional={
        "max_tokens": SCALARS,
        "stream": SCALARS,
        "priority": SCALARS,
        "temperature": SCALARS,
    },
)
BODIES = (
    st.binary(max_size=40)
    | CHAT_DOCUMENTS.map(lambda document: json.dumps(document).encode())
    | st.sampled_from([b"[" * 100_000, b'{"model": ' * 5_000, b"\xff", b"9" * 5_000])
)
HEADERS = st.dictionaries(
    st.sampled_from(
        ["x-chat-key", "x-work-rank", "x-request-id", "traceparent", "idempotency-key"]
    ),
    st.text(max_size=300) | st.sampled_from(["urgent", "quiet"]),
)


def check_message(message):
    assert isinstance(message, Open | Failure)
    if isinstance(message, Open):
        assert encode_frame(message)


@settings(deadline=None, max_examples=200, derandomize=True)
@given(BODIES, HEADERS)
def test_any_chat_request_is_converted_or_refused(body, headers):
    request = CallerRequest("POST", "/v1/chat/completions", "", headers, body)
    resolved = resolve_chat(INDEX, WORKSPACE, request)
    assert isinstance(resolved, ResolvedChat | Failure)
    check_message(
        resolved.open_message if isinstance(resolved, ResolvedChat) else resolved
    )


@settings(deadline=None, max_examples=150, derandomize=True)
@given(
    st.sampled_from(["orders", "status", "chat", "none"]) | st.text(max_size=8),
    st.sampled_from(["GET", "POST", "PUT", "TRACE"]) | st.text(max_size=8),
    st.text(max_size=20),
    st.text(max_size=20),
    HEADERS,
    st.binary(max_size=40),
)
def test_any_service_request_is_converted_or_refused(
    route, method, path, query, headers, body
):
    request = CallerRequest(method, path, query, headers, body)
    check_message(resolve_service(INDEX, WORKSPACE, route, path, request))
