"""Text in the events of a streamed response."""

import json
from typing import Any

from bilberryspring.malformed_input import MALFORMED_ERRORS

__all__ = ["join_event_text", "read_choice", "read_event"]


def join_event_text(chunks: list[bytes]) -> str:
    """Return the concatenated text in the events of a chat completion.

    :param chunks: JSON data of each event, in order.

    >>> join_event_text([b'{"choices": [{"delta": {"content": "ab"}}]}'])
    'ab'
    """
    texts = []
    for chunk in chunks:
        choices = json.loads(chunk).get("choices") or [{}]
        texts.append(choices[0].get("delta", {}).get("content") or "")
    return "".join(texts)


def read_event(chunk: bytes) -> dict[str, Any]:
    """Return the JSON object of an event; empty if it is malformed.

    :param chunk: JSON data of the event.

    >>> read_event(b"[DONE]")
    {}
    """
    try:
        event = json.loads(chunk)
    except MALFORMED_ERRORS:
        return {}
    return event if isinstance(event, dict) else {}


def read_choice(chunk: bytes) -> dict[str, Any]:
    """Return the first choice of an event; empty if there is none.

    :param chunk: JSON data of the event.
    """
    choices = read_event(chunk).get("choices")
    choice = choices[0] if choices and isinstance(choices, list) else {}
    return choice if isinstance(choice, dict) else {}
