"""The operations page lists every error kind and every setting."""

from pathlib import Path

import pytest

import bilberryspring
from bilberryspring.process.settings import AgentSettings, RouterSettings
from bilberryspring.request.errors import ERROR_RESPONSES, ErrorKind

ROOT = Path(bilberryspring.__file__).parents[1]
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")


@pytest.mark.parametrize("kind", ErrorKind)
def test_the_operations_page_lists_every_error_kind_with_its_status(kind):
    answer = ERROR_RESPONSES[kind]
    row = f"| `{kind.value}` | {answer.status} | {answer.outcome.value} |"
    assert row in OPERATIONS


@pytest.mark.parametrize("model", [RouterSettings, AgentSettings])
def test_the_operations_page_lists_every_setting(model):
    missing = [name for name in model.model_fields if f"| `{name}` |" not in OPERATIONS]
    assert missing == []
