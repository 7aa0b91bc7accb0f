"""Exceptions that decoding a malformed reply of the platform may raise."""

__all__ = ["MALFORMED_ERRORS"]

MALFORMED_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
