"""Exceptions that decoding malformed messages or records can raise."""

__all__ = ["DECODE_ERRORS"]

DECODE_ERRORS = (
    ValueError,  # base class of the errors of JSON, UTF-8 and pydantic
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
