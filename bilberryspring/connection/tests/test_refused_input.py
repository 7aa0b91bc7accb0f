"""Timeouts after the refusal of a request that could not be read.

Guards against a second refusal, which the log would show as a request without answer.
"""

import asyncio

from bilberryspring.connection import http_caller
from bilberryspring.connection.tests.test_http_caller import CallerServer, make_policy


async def test_refused_request_is_not_logged_as_unanswered(monkeypatch):
    events = []
    monkeypatch.setattr(http_caller, "log_event", lambda name, **_: events.append(name))
    server = CallerServer(make_policy(header_s=0.6))
    reader, writer = await server.start()
    writer.write(b"GET / HT")
    await asyncio.sleep(0.3)
    writer.write(b"\x00 malformed\r\n\r\n")
    response = await asyncio.wait_for(reader.read(), 3.0)
    # The header timeout ends while further input is discarded.
    await asyncio.sleep(http_caller.DISCARD_TIME_S + 0.2)
    writer.close()
    server.listener.close()
    assert response.startswith(b"HTTP/1.1 400 ")
    assert events == ["request_unreadable"]
