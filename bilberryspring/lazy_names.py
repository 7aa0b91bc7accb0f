"""Public names of a package that are imported when they are used.

A process starts sooner and takes less memory when it loads only the libraries of the
parts that it has.
"""

from collections.abc import Callable, Mapping
from importlib import import_module

__all__ = ["make_lazy_names"]


def make_lazy_names(
    package: str, modules: Mapping[str, str]
) -> Callable[[str], object]:
    """Return a module's ``__getattr__`` that finds names in its submodules.

    :param package: name of the package.
    :param modules: submodule by public name.
    :returns: function that imports the submodule of a name.

    >>> find = make_lazy_names("bilberryspring.policy", {"ORDERS": "ordering"})
    >>> "first_come" in find("ORDERS")
    True
    """

    def find(name: str) -> object:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return find
