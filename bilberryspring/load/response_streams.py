"""Client-side reader of streamed chat responses."""

import json
import time
from dataclasses import dataclass, field

import aiohttp

from bilberryspring.standin.event_stream import ServerEvent, read_server_events

__all__ = ["StreamedResponse", "read_streamed_response"]


@dataclass(slots=True)
class StreamedResponse:
    """A streamed response, complete or truncated.

    :param text: generated text that was received.
    :param token_times_s: arrival time of each token on the monotonic clock, in seconds.
    :param prompt_tokens: prompt tokens that the engine reported; zero if not reported.
    :param cached_tokens: of these, tokens served from the prefix cache.
    :param is_whole: whether the stream ended, and without an error event.
    :param problem: problem document of an error event; empty without one.
    """

    text: str = ""
    token_times_s: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    is_whole: bool = False
    problem: dict[str, object] = field(default_factory=dict)


async def read_streamed_response(response: aiohttp.ClientResponse) -> StreamedResponse:
    """Read server-sent events until the end of the response.

    :param response: HTTP response with status 200.
    :returns: the data received, incomplete if the connection failed.
    """
    streamed = StreamedResponse()
    text_parts: list[str] = []
    try:
        async for event in read_server_events(response.content):
            if event.is_end:
                streamed.is_whole = not streamed.problem
                break
            _apply_event(streamed, text_parts, event)
    except (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError):
        streamed.is_whole = False
    streamed.text = "".join(text_parts)
    return streamed


def _apply_event(
    streamed: StreamedResponse, text_parts: list[str], event: ServerEvent
) -> None:
    document = json.loads(event.data)
    if event.is_error:
        streamed.problem = document
        return
    for choice in document.get("choices", ()):
        content = choice.get("delta", {}).get("content")
        if content:
            text_parts.append(content)
            streamed.token_times_s.append(time.monotonic())
    usage = document.get("usage")
    if usage:
        streamed.prompt_tokens = usage["prompt_tokens"]
        details = usage.get("prompt_tokens_details") or {}
        streamed.cached_tokens = details.get("cached_tokens", 0)
