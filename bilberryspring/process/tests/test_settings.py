"""Loading of the settings file of a process."""

import pytest

from bilberryspring.process.settings import AgentSettings, load_settings
from bilberryspring.request.errors import Failure

VALID = """{
  // comments are allowed
  "instance_id": "agent-1", "availability_zone": "cankaya", "region": "ankara",
  "fleet_secret": "0123456789abcdef", "key_value_addresses": ["127.0.0.1:2379"],
  "instance_list_address": "127.0.0.1:2380", "pool": "roll-writer",
  "peer_address": "127.0.0.1:7000", "administration_address": "127.0.0.1:7001",
  "backend_address": "127.0.0.1:8000",
}"""


def write(tmp_path, text):
    path = tmp_path / "agent.json"
    path.write_text(text)
    return path


def test_comments_and_trailing_commas_are_accepted(tmp_path):
    settings = load_settings(write(tmp_path, VALID), AgentSettings)
    assert settings.pool == "roll-writer"


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('"pool": "roll-writer"', '"pol": "x"', "pol: Extra inputs"),
        ("127.0.0.1:8000", "localhost:8000", "backend_address"),
        ('"pool": "roll-writer"', '"pool": "p", "ping_timeout_s": 0', "ping_timeout_s"),
        ('"pool"', "pool'", "agent.json"),
    ],
)
def test_invalid_setting_is_reported_with_file_and_field(tmp_path, old, new, message):
    failure = load_settings(write(tmp_path, VALID.replace(old, new)), AgentSettings)
    assert isinstance(failure, Failure)
    assert message in failure.reason
    assert "agent.json" in failure.reason


def test_missing_settings_file_is_a_failure(tmp_path):
    assert isinstance(load_settings(tmp_path / "none.json", AgentSettings), Failure)
