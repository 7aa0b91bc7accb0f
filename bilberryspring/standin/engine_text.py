"""Deterministic text that the model engine stand-in generates.

The text depends only on model, adapter, messages, engine version and token index, so
that a test can compute the answer that a caller must receive.
"""

import json
from collections.abc import Sequence

import xxhash

from bilberryspring.identifiers import digest_content

__all__ = [
    "Message",
    "count_tokens",
    "digest_request",
    "digest_prefixes",
    "make_word",
    "make_expected_text",
    "compute_answer_length",
]

Message = dict[str, str]

DISTINCT_WORDS = 10_000


def count_tokens(messages: Sequence[Message]) -> int:
    """Return the number of prompt tokens, which are words separated by white space.

    :param messages: messages of the conversation.

    >>> count_tokens([{"role": "user", "content": "compose the roll"}])
    3
    """
    return sum(len(message["content"].split()) for message in messages)


def digest_request(model: str, adapter: str, messages: Sequence[Message]) -> str:
    """Return the digest of the inputs that determine an answer of one engine version.

    :param model: model or adapter that the request names.
    :param adapter: adapter to apply; empty for none.
    :param messages: messages of the conversation.
    """
    inputs = [model, adapter, [[each["role"], each["content"]] for each in messages]]
    canonical_json = json.dumps(inputs, ensure_ascii=False, separators=(",", ":"))
    return digest_content(canonical_json.encode())


def digest_prefixes(
    model: str, adapter: str, engine_version: str, messages: Sequence[Message]
) -> list[str]:
    """Return the digest of each prefix of whole messages, shortest first.

    White space is normalised, because a caller may trim an answer that it sends back.

    :param model: model or adapter that the request names.
    :param adapter: adapter to apply; empty for none.
    :param engine_version: version of the engine.
    :param messages: messages of the conversation.
    """
    prefix_digest = f"{model}\0{adapter}\0{engine_version}"
    digests = []
    for message in messages:
        words = " ".join(message["content"].split())
        prefix_digest = digest_content(
            f"{prefix_digest}\0{message['role']}\0{words}".encode()
        )
        digests.append(prefix_digest)
    return digests


def make_word(request_digest: str, engine_version: str, index: int) -> str:
    """Return the text of one token, with a trailing space.

    :param request_digest: digest from :func:`digest_request`.
    :param engine_version: version of the engine.
    :param index: index of the token in the answer.
    """
    seed = f"{request_digest}\0{engine_version}\0{index}".encode()
    return f"w{xxhash.xxh3_64_intdigest(seed) % DISTINCT_WORDS} "


def make_expected_text(request_digest: str, engine_version: str, tokens: int) -> str:
    """Return the text of the first tokens of an answer.

    :param request_digest: digest from :func:`digest_request`.
    :param engine_version: version of the engine.
    :param tokens: number of tokens.

    >>> make_expected_text(digest_request("m", "", []), "e1", 2)
    'w109 w1686 '
    """
    words = (make_word(request_digest, engine_version, each) for each in range(tokens))
    return "".join(words)


def compute_answer_length(request_digest: str, max_answer_tokens: int) -> int:
    """Return the number of tokens after which an answer ends by itself.

    :param request_digest: digest from :func:`digest_request`.
    :param max_answer_tokens: limit on the number of tokens.
    """
    return 1 + xxhash.xxh3_64_intdigest(request_digest.encode()) % max_answer_tokens
