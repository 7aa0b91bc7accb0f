"""Adapters for the services of the platform.

Only this package uses the platform's calls, field names and addresses. All other
packages use the protocols and typed values of ``bilberryspring.capability``.
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
