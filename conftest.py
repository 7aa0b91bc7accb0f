"""Reports what a test leaves open as an error of this test.

A stream writer or client session that nobody closed fails in its finalizer, whenever
the garbage collector finds it, possibly in the middle of another test.
"""

import asyncio
import gc
import sys

import pytest

pytest_plugins = ["pytester"]


def _finalize_writer(writer: asyncio.StreamWriter) -> None:
    """Close a stream writer that nobody closed, which fails without its event loop.

    :raises RuntimeError: if the event loop is closed.
    """
    if not writer.transport.is_closing():
        writer.close()


# From Python 3.11.7 on, this finalizer only warns about a closed event loop.
asyncio.StreamWriter.__del__ = _finalize_writer


def pytest_collection_finish():
    """Exempt the imported modules from collections, which then take little time."""
    gc.collect()
    gc.freeze()


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_teardown(item):
    """Collect what the test left, and report the exceptions of its finalizers."""
    try:
        return (yield)
    finally:
        # The last failure and the fixtures' values refer to objects of the test.
        sys.last_exc = sys.last_value = sys.last_traceback = None
        item.funcargs.clear()
        gc.collect()
        plugin = item.config.pluginmanager.get_plugin("unraisableexception")
        plugin.pytest_runtest_teardown(item)
