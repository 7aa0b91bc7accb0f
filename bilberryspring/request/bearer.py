"""API keys in HTTP ``Authorization`` headers."""

__all__ = ["read_bearer_key"]

SCHEME = "bearer "


def read_bearer_key(authorization: str | None) -> str:
    """Return the API key of an ``Authorization`` header with the bearer scheme.

    :param authorization: value of the header; ``None`` if it is missing.
    :returns: the key; empty for a missing header or another scheme.

    >>> read_bearer_key("Bearer test-key"), read_bearer_key("Basic eDp5")
    ('test-key', '')

    .. seealso:: RFC 6750, section 2.1.
    """
    text = authorization or ""
    if text[: len(SCHEME)].lower() != SCHEME:
        return ""
    return text[len(SCHEME) :].strip()
