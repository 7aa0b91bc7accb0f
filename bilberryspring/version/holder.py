"""The active configuration version of one process, which never decreases."""

import asyncio
from collections.abc import Callable

from bilberryspring.identifiers import ConfigVersion
from bilberryspring.version.index import ConfigurationIndex, make_index
from bilberryspring.version.objects import Configuration

__all__ = ["ConfigurationHolder", "make_holder", "ChangeCallback"]

ChangeCallback = Callable[[ConfigVersion, ConfigurationIndex], None]


class ConfigurationHolder:
    """Holder of the active configuration version, with callbacks for its changes.

    :ivar version: active version; zero before the first one.
    :ivar configuration: the active configuration; ``None`` before the first one.
    :ivar index: look-up tables of the active configuration; ``None`` before the first
        one.
    """

    def __init__(self) -> None:
        self.version = ConfigVersion(0)
        self.configuration: Configuration | None = None
        self.index: ConfigurationIndex | None = None
        self._callbacks: list[ChangeCallback] = []
        self._changed = asyncio.Event()

    def adopt(self, version: int, configuration: Configuration) -> bool:
        """Activate a version if it is newer than the active one.

        :param version: number of an accepted version.
        :param configuration: configuration of that version.
        :returns: whether this call activated the version.
        """
        if version <= self.version:
            return False
        self.index = make_index(configuration)
        self.configuration = configuration
        self.version = ConfigVersion(version)
        self._changed.set()
        self._changed = asyncio.Event()
        for callback in self._callbacks:
            callback(self.version, self.index)
        return True

    async def wait_for(self, version: int, timeout_s: float) -> bool:
        """Wait until a version, or a newer one, is active.

        :param version: number of the version.
        :param timeout_s: timeout in seconds.
        :returns: whether the version, or a newer one, is active.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.version < version:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def on_change(self, callback: ChangeCallback) -> None:
        """Register a callback that runs after each change of the active version.

        :param callback: called with the version number and its index.
        """
        self._callbacks.append(callback)


def make_holder() -> ConfigurationHolder:
    """Return a holder without an active configuration.

    >>> holder = make_holder()
    >>> holder.adopt(2, Configuration()), holder.adopt(1, Configuration())
    (True, False)
    >>> holder.version
    2
    """
    return ConfigurationHolder()
