"""What the system needs of the platform, in its own words.

Small protocols and their typed values. Whatever speaks to a platform implements them in
``bilberryspring.platform``; nothing else knows its calls or names.
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
