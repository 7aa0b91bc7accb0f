"""Reading of input that others wrote, which may be malformed in any way."""

import json
import math
import zlib
from typing import Any

import capnp

__all__ = [
    "MALFORMED_ERRORS",
    "describe_error",
    "parse_json",
    "require_finite",
    "require_int",
    "require_text",
]

# Exceptions that decoding malformed input may raise.
MALFORMED_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    capnp.KjException,
    zlib.error,
)
# A reason may quote the input, which may be long.
MAX_REASON_CHARACTERS = 200


def describe_error(error: Exception) -> str:
    """Return a short description of an exception, in ASCII characters.

    :param error: exception that malformed input caused.

    >>> describe_error(KeyError("zone"))
    "KeyError: 'zone'"
    """
    name = type(error).__name__
    # A KjException is described by several lines, of which the first has the cause.
    text = next(iter(str(error).splitlines()), "")[:MAX_REASON_CHARACTERS]
    return f"{name}: {text}".encode("ascii", "backslashreplace").decode()


def parse_json(content: bytes, max_bytes: int | None = None) -> Any:
    """Parse a JSON document strictly.

    Refused are numbers that are not finite, members that occur twice, and strings that
    cannot be encoded as UTF-8.

    :param content: the document, encoded as UTF-8.
    :param max_bytes: largest size; ``None`` for any.
    :returns: the document.
    :raises ValueError: if it is malformed or too large.
    :raises RecursionError: if it is nested too deeply.
    """
    if max_bytes is not None and len(content) > max_bytes:
        raise ValueError(f"{len(content)} bytes, at most {max_bytes} are allowed")
    document = json.loads(
        content.decode("utf-8-sig"),
        object_pairs_hook=_make_object,
        parse_constant=_parse_float,
        parse_float=_parse_float,
    )
    # Only an escape can bring a lone surrogate into a string.
    if b"\\u" in content:
        json.dumps(document, ensure_ascii=False).encode()
    return document


def require_int(
    value: Any, name: str, lowest: float = -math.inf, highest: float = math.inf
) -> int:
    """Return a value that must be an integer.

    :param value: value of a document; true and false are no integers.
    :param name: name of the value, for the exception.
    :param lowest: lowest allowed integer.
    :param highest: highest allowed integer.
    :raises ValueError: if it is not an integer of that range.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is not an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"{name} is out of range")
    return value


def require_finite(value: Any, name: str, lowest: float = -math.inf) -> float:
    """Return a value that must be a finite number.

    :param value: value of a document; true and false are no numbers.
    :param name: name of the value, for the exception.
    :param lowest: lowest allowed number.
    :raises ValueError: if it is not a finite number of that range.
    :raises OverflowError: if it is an integer beyond all floating-point numbers.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is not a number")
    number = float(value)
    if not math.isfinite(number) or number < lowest:
        raise ValueError(f"{name} is out of range")
    return number


def require_text(value: Any, name: str) -> str:
    """Return a value that must be a string with characters.

    :param value: value of a document.
    :param name: name of the value, for the exception.
    :raises ValueError: if it is not a string, or empty.
    """
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} must be a string that is not empty")
    return value


def _make_object(members: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(members)
    if len(document) != len(members):
        raise ValueError("a member occurs twice")
    return document


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("a number is not finite")
    return number
