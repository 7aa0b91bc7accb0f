"""Commands of the operator's program and their exit codes."""

import json

import pytest
from cleo.testers.application_tester import ApplicationTester

from bilberryspring.process.operator import make_operator_program

DOCUMENT_WITH_FAULTS = """{
  // two faults
  "pools": [{"name": "p", "kind": "database"}],
  "adapters": [{"name": "a", "model": "m"}],
}"""


def run(arguments):
    tester = ApplicationTester(make_operator_program())
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def write(tmp_path, name, text):
    path = tmp_path / name
    path.write_text(text)
    return path


def test_check_lists_every_fault_with_its_path(tmp_path):
    path = write(tmp_path, "c.json", DOCUMENT_WITH_FAULTS)
    code, output, errors = run(f"check {path}")
    assert (code, output) == (3, "")
    assert f"{path}: pools[0].kind: " in errors
    assert f"{path}: adapters[0].model: unknown model 'm'" in errors


def test_check_accepts_a_valid_document(tmp_path):
    path = write(tmp_path, "c.json", '{"pools": [{"name": "p", "kind": "service"}]}')
    assert run(f"check {path}") == (0, f"{path}: valid\n", "")


@pytest.mark.parametrize(
    ("command", "code", "message"),
    [
        ("check {missing}", 3, "none.json"),
        ("publish {valid}", 2, "--base"),
        ("publish {valid} --base x", 2, "--base"),
        ("status --settings {missing}", 2, "none.json"),
        ("status --settings {valid}", 2, "operator_key"),
        ("status --settings {settings}", 1, "peer_unreachable"),
        ("publish {valid} --base 1 --settings {settings}", 1, "peer_unreachable"),
        ("explain-placement w {missing}", 2, "none.json"),
    ],
)
def test_failed_command_reports_the_error_and_its_exit_code(
    tmp_path, command, code, message
):
    settings = {"administration_addresses": ["127.0.0.1:1"], "operator_key": "k"}
    paths = {
        "missing": tmp_path / "none.json",
        "valid": write(tmp_path, "valid.json", "{}"),
        "settings": write(tmp_path, "settings.json", json.dumps(settings)),
    }
    exit_code, _, errors = run(command.format(**paths))
    assert exit_code == code
    assert message in errors
