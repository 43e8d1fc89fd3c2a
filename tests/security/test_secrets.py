"""Tests that no secret of the settings appears in a log line, decision trace or audit record."""

import io

import attrs
import pytest

from tests.builders.objectstore import MemoryObjectStore
from turmericreach.audit import AuditLog, AuditRecord
from turmericreach.daemon.main import secrets_of
from turmericreach.security import register_secrets
from turmericreach.settings import DaemonSettings, Role
from turmericreach.settings.schema import PlatformSettings, SecuritySettings, TokenSettings
from turmericreach.telemetry import Decision, DecisionTrace, configure_logging, events, log_event
from turmericreach.telemetry.redaction import KNOWN_SECRETS

SECRETS = ("caller-s3cret", "order-s3cret", "platform-s3cret")


@pytest.fixture
def protected():
    settings = DaemonSettings(
        role=Role.AGENT,
        name="a1",
        data_centre="turku",
        platform=PlatformSettings(token=SECRETS[2]),
        security=SecuritySettings(
            tokens=[TokenSettings("ops", SECRETS[0], ["operator"])], order_token=SECRETS[1]
        ),
    )
    register_secrets(secrets_of(settings))
    yield
    KNOWN_SECRETS.clear()


@pytest.mark.parametrize("secret", SECRETS)
def test_secret_in_free_text_is_redacted(protected, secret):
    """Guards against leaking a token that an engine or a caller quotes in a message."""
    text = f"engine says: {secret!r} is not accepted here"
    stream = io.StringIO()
    configure_logging("info", "a1", stream, strict=True)
    log_event(events.TARGET_UNREACHABLE, target="t1", error=text)
    configure_logging("warning", "test", io.StringIO(), strict=True)
    trace = DecisionTrace()
    trace.record(Decision(0.0, "a1", "r1", "x1", text, text))
    log = AuditLog(MemoryObjectStore(), "turku", "a1")
    log.append(AuditRecord(0.0, "a1", text, "drain", text, text, text))
    (record,) = log.pending.values()
    outputs = [stream.getvalue(), *map(str, trace.explain("r1")), str(attrs.asdict(record))]
    assert [output for output in outputs if secret in output] == []
    assert all("not accepted here" in output for output in outputs)
