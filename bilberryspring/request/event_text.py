"""Text in the events of a streamed response."""

import json

__all__ = ["join_event_text"]


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
