"""Policies compute a decision without input or output."""

import ast
from pathlib import Path

import pytest

import bilberryspring.policy

MODULES = sorted(Path(bilberryspring.policy.__file__).parent.glob("*.py"))
# Modules that wait, read a clock, write output or use the network.
SIDE_EFFECT_MODULES = {
    "aiohttp",
    "asyncio",
    "loguru",
    "os",
    "sanic",
    "socket",
    "threading",
    "time",
}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_policy_modules_have_no_input_or_output(path):
    tree = ast.parse(path.read_text(encoding="utf-8"))
    assert not any(isinstance(node, ast.AsyncFunctionDef) for node in ast.walk(tree))
    imported = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            imported |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(node.module.partition(".")[0])
    assert not imported & SIDE_EFFECT_MODULES
