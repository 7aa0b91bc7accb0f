"""Example configurations."""

from pathlib import Path

import pytest

from bilberryspring.version.document import check_document
from bilberryspring.version.index import make_index
from bilberryspring.version.objects import Configuration, PoolKind

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["printing-works", "lankverk"])
def test_examples_are_valid_and_contain_the_test_keys(name):
    configuration = check_document((EXAMPLES / f"{name}.json").read_bytes())
    assert isinstance(configuration, Configuration), configuration
    kinds = [pool.kind for pool in configuration.pools]
    assert kinds == [PoolKind.ENGINE, PoolKind.SERVICE]
    assert len(configuration.workspaces) == 10
    index = make_index(configuration)
    for workspace in configuration.workspaces:
        assert index.workspace_by_key(f"test-key-{workspace.name}") is workspace
