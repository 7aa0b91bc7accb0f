"""Authentication of operators and fleet processes at the administration API."""

import hmac
from collections.abc import Mapping

from bilberryspring.request.bearer import read_bearer_key
from bilberryspring.version.index import digest_key

__all__ = ["authenticate_operator", "is_fleet_secret"]


def authenticate_operator(
    key_digests: Mapping[str, str], authorization: str | None
) -> str | None:
    """Return the name of the operator whose key a request carries.

    Every digest is compared, in constant time, so that the response time reveals
    nothing about the keys.

    :param key_digests: SHA-256 digest of each operator's key, by operator name.
    :param authorization: value of the ``Authorization`` header, None if it is missing.
    :returns: the name, or None for a missing or wrong key.

    >>> authenticate_operator({"ayse": digest_key("k")}, "Bearer k")
    'ayse'
    >>> authenticate_operator({"ayse": digest_key("k")}, "Bearer x") is None
    True
    """
    key = read_bearer_key(authorization)
    presented_digest = digest_key(key)
    found = None
    for name, digest in key_digests.items():
        if hmac.compare_digest(presented_digest, digest) and key:
            found = name
    return found


def is_fleet_secret(secret: str, authorization: str | None) -> bool:
    """Return whether a request carries the fleet secret.

    :param secret: secret that all processes of the fleet share.
    :param authorization: value of the ``Authorization`` header, None if it is missing.

    >>> is_fleet_secret("0123456789abcdef", "Bearer 0123456789abcdef")
    True
    """
    presented_digest = digest_key(read_bearer_key(authorization))
    return hmac.compare_digest(presented_digest, digest_key(secret))
