"""Registries of interchangeable policy functions, filled by decorators."""

from collections.abc import Callable
from typing import TypeVar

__all__ = ["Registry", "make_registry"]

P = TypeVar("P")


class Registry(dict[str, P]):
    """Policy functions for one kind of decision, by name."""

    def register(self, name: str) -> Callable[[P], P]:
        """Return a decorator that registers a policy function.

        :param name: name by which a pool's configuration selects the function.
        :returns: decorator that returns the function unchanged.
        :raises ValueError: if the name is already registered.
        """

        def add(policy: P) -> P:
            if name in self:
                raise ValueError(f"policy {name} is already registered")
            self[name] = policy
            return policy

        return add


def make_registry() -> Registry:
    """Return an empty registry.

    >>> greetings = make_registry()
    >>> @greetings.register("plain")
    ... def greet(name):
    ...     return f"hello {name}"
    >>> greetings["plain"]("clerk")
    'hello clerk'
    """
    return Registry()
