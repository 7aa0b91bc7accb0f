"""Commands of the load program."""

import pytest
from cleo.testers.application_tester import ApplicationTester

from bilberryspring.load.command import EXIT_BAD_USAGE, make_program


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("experiment --deployment nowhere", "printing-works"),
        ("experiment --deployment lankverk --scenario none", "flood-urgent"),
        ("experiment --deployment lankverk --policy none", "bounded_rendezvous"),
        ("run --deployment nowhere 127.0.0.1:1", "lankverk"),
        ("slopes --only nothing-of-that-name", "nothing-of-that-name"),
    ],
)
def test_unknown_name_is_rejected_with_a_list_of_known_names(capsys, line, named):
    tester = ApplicationTester(make_program())
    assert tester.execute(line) == EXIT_BAD_USAGE
    assert named in capsys.readouterr().err


def test_slopes_are_printed_and_written(capsys, tmp_path):
    path = tmp_path / "slopes.json"
    tester = ApplicationTester(make_program())
    assert tester.execute(f"slopes --only ping --json {path}") == 0
    assert "encode and decode a ping" in capsys.readouterr().out
    assert "encode and decode a ping" in path.read_text()
