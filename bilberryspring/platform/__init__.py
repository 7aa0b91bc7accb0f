"""Adapters for the platform's services.

The only place that knows the platform's calls, field names and addresses. Everything
else sees the protocols and typed values of ``bilberryspring.capability``.

Names are imported when they are used: a program loads the libraries of the adapters
that it has, and memory of its machine counts.
"""

from importlib import import_module

__all__ = [
    "make_instance_list_client",
    "make_key_value_client",
    "parse_instance_list",
]

_MODULES = {
    "make_instance_list_client": "instances",
    "make_key_value_client": "keyvalue",
    "parse_instance_list": "instances",
}


def __getattr__(name: str) -> object:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
