"""Lazy import of the public names of a package.

A submodule is imported when one of its names is first used, so that a process loads
only the libraries that it needs. This reduces start-up time and memory use.
"""

from collections.abc import Callable, Mapping
from importlib import import_module

__all__ = ["make_lazy_names"]


def make_lazy_names(
    package: str, submodules: Mapping[str, str]
) -> Callable[[str], object]:
    """Return a ``__getattr__`` for a package that imports its submodules on demand.

    :param package: qualified name of the package.
    :param submodules: name of the submodule that defines each public name.
    :returns: function that imports the submodule of a public name and returns the
        object of that name; for any other name, it raises :class:`AttributeError`.

    >>> modules = {"ORDER_POLICIES": "ordering"}
    >>> import_name = make_lazy_names("bilberryspring.policy", modules)
    >>> "first_come" in import_name("ORDER_POLICIES")
    True
    """

    def import_name(name: str) -> object:
        if name not in submodules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{submodules[name]}"), name)

    return import_name
