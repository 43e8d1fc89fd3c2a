"""Tests of loading settings, and of the messages for invalid ones."""

import pytest

from turmericreach.settings import Role, SettingsError, load_settings

GATEWAY = """\
role: gateway
name: g1
data_centre: tampere
listen:
  ip: 10.0.0.1
  http_port: 8080
"""


def write_settings(tmp_path, text):
    path = tmp_path / "daemon.yaml"
    path.write_text(text)
    return path


def test_loads_a_gateway(tmp_path):
    """Guards against a nested value that is replaced by its default."""
    settings = load_settings(write_settings(tmp_path, GATEWAY + "stop_timeout_s: 5\n"))
    assert settings.role is Role.GATEWAY
    assert settings.listen.http_port == 8080
    assert settings.stop_timeout_s == 5.0


@pytest.mark.parametrize(
    ("text", "line", "key", "expected"),
    [
        (GATEWAY + "colour: red\n", 7, "colour", "unknown key"),
        (GATEWAY + "name: g2\n", 7, "name", "duplicate key"),
        (GATEWAY + "stop_timeout_s: -1\n", 7, "stop_timeout_s", "at least 0"),
        (GATEWAY + "seeds: [10.0.0.1]\n", 7, "seeds[0]", "ip:port"),
        (GATEWAY + "limits: {max_connections: yes}\n", 7, "limits.max_connections", "whole"),
        (GATEWAY + "security:\n  tls_key: k\n", 7, "security.tls_certificate", "together"),
        (GATEWAY.replace("8080", "99999"), 6, "listen.http_port", "at most 65535"),
        (GATEWAY.replace("10.0.0.1", "host-a"), 5, "listen.ip", "an IP address"),
        (GATEWAY.replace("  http_port: 8080\n", ""), 4, "listen.http_port", "gateway"),
        (GATEWAY.replace("gateway", "boss"), 1, "role", "gateway, agent"),
        (GATEWAY.replace("name: g1\n", ""), 1, "name", "missing"),
        ("role: [\n", 2, "", "not valid YAML"),
        ("", 1, "", "empty"),
        ("- a\n", 1, "", "expected a mapping"),
        ("a: &x [1]\nseeds: *x\n", 1, "a", "unknown key"),
        ("[" * 5000, 0, "", "nested too deeply"),
        ("a: \x00", 0, "", "not valid YAML"),
    ],
)
def test_each_problem_is_one_line(tmp_path, text, line, key, expected):
    """Guards against a traceback, or a message without file, line, key or the expected value."""
    path = write_settings(tmp_path, text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    message = str(caught.value)
    assert "\n" not in message
    assert message.startswith(f"{path}:{line}: " if line else f"{path}: ")
    assert key in message
    assert expected in message


def test_missing_file_is_a_settings_error(tmp_path):
    """Guards against a traceback for a path that does not exist."""
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(tmp_path / "none.yaml")
