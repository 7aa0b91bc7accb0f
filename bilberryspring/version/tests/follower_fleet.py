"""Fleets of configuration followers for the tests of this package."""

from contextlib import asynccontextmanager

from bilberryspring.standin.followers import StaticInstanceList, make_follower_fleet

__all__ = ["StaticInstanceList", "open_fleet"]


@asynccontextmanager
async def open_fleet(control):
    """Yield a fleet without nodes that uses a key-value stand-in.

    :param control: test client that controls the stand-in.
    """
    fleet = make_follower_fleet(f"{control.server.host}:{control.server.port}")
    try:
        yield fleet
    finally:
        await fleet.close()
