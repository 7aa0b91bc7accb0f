"""Platform-independent interfaces to the services that the system depends on.

The package holds small protocols and the typed values that they exchange. Adapters in
``bilberryspring.platform`` implement the protocols. No other code depends on the calls
and names of a particular platform.
"""

from bilberryspring.lazy_names import make_lazy_names

__all__ = [
    "Instance",
    "InstanceList",
    "InstanceSource",
    "InstanceState",
    "Role",
    "Store",
]

__getattr__ = make_lazy_names(
    __name__,
    {
        "Instance": "instance_list",
        "InstanceList": "instance_list",
        "InstanceSource": "instance_list",
        "InstanceState": "instance_list",
        "Role": "instance_list",
        "Store": "store",
    },
)
