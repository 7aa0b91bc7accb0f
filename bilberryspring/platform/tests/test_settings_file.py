"""Loading of the machine's settings file."""

from bilberryspring.platform.settings_file import load_machine_settings
from bilberryspring.request.errors import Failure

SETTINGS_TEXT = """
node = "front-1"
ip = "127.0.0.1"
zone = "a"
internalPorts = [7340,7355]
seeds = ["10.1.0.40:8229"]
later = "a field of a later platform"
[listen]
front = "127.0.0.1:8227"
ready = "127.0.0.1:8220"
[bounds]
drainMs = 2500
graceS = 8
[platform]
address = "127.0.0.1:8223"
"""


def load_text(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return load_machine_settings(str(path))


def test_settings_are_decoded_into_project_units_and_unknown_fields_ignored(tmp_path):
    settings = load_text(tmp_path, SETTINGS_TEXT)
    assert settings.leaving_s == 2.5 and settings.stop_s == 8
    assert settings.peer_port == 7340 and settings.seed_ips == ("10.1.0.40",)
    assert settings.retry_ratio == 0.2


def test_regions_of_zones_are_optional(tmp_path):
    assert load_text(tmp_path, SETTINGS_TEXT).regions == {}
    settings = load_text(tmp_path, SETTINGS_TEXT + '[zones]\na = "north"\n')
    assert settings.regions == {"a": "north"}
    failure = load_text(tmp_path, SETTINGS_TEXT + "[zones]\na = 7\n")
    assert isinstance(failure, Failure) and "zones" in failure.reason


def test_failure_names_every_invalid_field(tmp_path):
    text = SETTINGS_TEXT.replace('zone = "a"\n', "").replace(
        "drainMs = 2500", "drainMs = -1"
    )
    failure = load_text(tmp_path, text)
    assert isinstance(failure, Failure)
    assert "zone" in failure.reason and "drainMs" in failure.reason


def test_unreadable_file_is_a_failure(tmp_path):
    assert isinstance(load_text(tmp_path, "node = "), Failure)
    assert isinstance(load_machine_settings(str(tmp_path / "absent")), Failure)
