"""Adapters for the platform's services.

The only place that knows the platform's calls, field names and addresses. Everything
else sees the protocols and typed values of ``bilberryspring.capability``.
"""

from bilberryspring.lazy_names import make_lazy_names

__all__ = [
    "make_instance_list_client",
    "make_key_value_client",
    "parse_instance_list",
]

__getattr__ = make_lazy_names(
    __name__,
    {
        "make_instance_list_client": "instances",
        "make_key_value_client": "keyvalue",
        "parse_instance_list": "instances",
    },
)
