"""A test that leaves something open fails itself.

Guards against a stream writer that a test leaves open and whose finalizer breaks
another test, in which it happens to be collected.
"""

from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]

OPEN_CONNECTION = """
import asyncio
import pytest


def close(reader, writer):
    writer.close()


async def open_connection():
    server = await asyncio.start_server(close, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    server.close()
    writer.itself = writer
    return writer
"""
LEAKS = {
    "passing-test": """
async def test_leak():
    await open_connection()
""",
    "failing-test": """
async def test_leak():
    writer = await open_connection()
    assert writer is None
""",
    "fixture": """
@pytest.fixture
async def writer():
    yield await open_connection()


async def test_leak(writer):
    pass
""",
}
CLOSED = """
async def test_leak():
    (await open_connection()).close()
"""
NEXT_TEST = """
def test_next():
    pass
"""


@pytest.fixture
def run_test(pytester):
    """Run a test and one after it, with the configuration of this project."""
    for name in ("conftest.py", "pyproject.toml"):
        (pytester.path / name).write_text((ROOT / name).read_text())

    def run(source):
        path = pytester.makepyfile(OPEN_CONNECTION + source + NEXT_TEST)
        return pytester.runpytest_subprocess("-q", path)

    return run


@pytest.mark.parametrize("where", LEAKS)
def test_what_a_test_leaves_open_is_an_error_of_this_test(run_test, where):
    result = run_test(LEAKS[where])
    failed = int(where == "failing-test")
    result.assert_outcomes(passed=2 - failed, failed=failed, errors=1)
    result.stdout.fnmatch_lines(["*ERROR at teardown of test_leak*"])
    result.stdout.fnmatch_lines(["*Event loop is closed*"])


def test_a_test_that_closes_what_it_opens_passes(run_test):
    run_test(CLOSED).assert_outcomes(passed=2)
