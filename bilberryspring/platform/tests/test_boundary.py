"""Only programs and tools import the adapters of the platform."""

import ast
from pathlib import Path

import pytest

import bilberryspring

PACKAGE = Path(bilberryspring.__file__).parent
ADAPTER_PACKAGE = "bilberryspring.platform"
# Functions that return adapters or parse their data; the results have the types of
# `capability`.
ALLOWED_NAMES = {
    "make_instance_list_client",
    "make_key_value_client",
    "parse_instance_list",
}
# Programs that create the adapters, and development tools.
PROGRAM_PATHS = {"process/node.py"}
TOOL_FOLDERS = ("load", "standin")


def list_adapter_imports(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            if node.module.startswith(ADAPTER_PACKAGE):
                yield from (alias.name for alias in node.names)


@pytest.mark.parametrize(
    "path",
    [
        path.relative_to(PACKAGE).as_posix()
        for path in PACKAGE.rglob("*.py")
        if not {"tests", "platform"} & set(path.parts)
    ],
)
def test_only_programs_import_adapters_and_no_module_imports_wire_types(path):
    imported = set(list_adapter_imports(PACKAGE / path))
    if path in PROGRAM_PATHS or path.startswith(TOOL_FOLDERS):
        assert imported <= ALLOWED_NAMES | {"encode_bytes"}
    else:
        assert imported == set()
