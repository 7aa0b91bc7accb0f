"""The requirements file declares what the package imports."""

import ast
import sys
from importlib.metadata import packages_distributions
from pathlib import Path

import bilberryspring

PACKAGE = Path(bilberryspring.__file__).parent


def list_imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and not node.level:
            yield node.module.partition(".")[0]


def list_declared_distributions():
    lines = (PACKAGE.parent / "requirements.txt").read_text().splitlines()
    return {line.partition("==")[0].lower().replace("_", "-") for line in lines}


def test_requirements_declare_every_imported_package():
    imported = {
        name
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts
        for name in list_imported_packages(path)
    } - {*sys.stdlib_module_names, "bilberryspring"}
    distributions = packages_distributions()
    declared = list_declared_distributions()
    missing = {
        name
        for name in imported
        if not {each.lower().replace("_", "-") for each in distributions[name]}
        & declared
    }
    assert missing == set()
