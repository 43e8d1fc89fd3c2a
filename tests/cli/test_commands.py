"""Commands against a fake gateway and an in-memory object store."""

import json

import pytest

from tests.builders.gateway import FakeGateway, Sequence, member, status
from tests.builders.manifests import MANIFEST_TEXT
from tests.builders.objectstore import MemoryObjectStore
from turmericreach.cli import options
from turmericreach.cli.main import main
from turmericreach.cli.options import ExitCode
from turmericreach.objectstore import HostRecord, HostState

TARGET = {
    "target": "t1", "service": "assistant", "model": "assistant", "data_centre": "turku",
    "state": "live", "version": 2, "wanted": 3, "prepared": 4, "load": 1, "slots": 8, "speed": 50.0,
}  # fmt: skip
LOT = {
    "lot": "lot-1", "trainer": "fittings", "coordinator": "g1", "samples": 8,
    "counts": {"ready": 3, "running": 5}, "discarded": {"stale": 1}, "stragglers": 1,
    "tokens_useful": 90, "tokens_thrown_away": 10, "durable": True,
}  # fmt: skip
DECISION = {
    "at": 1.0, "daemon": "a1", "request_id": "r1", "attempt_id": "x1", "what": "answered",
    "evidence": "\x1b[31mtarget",
}  # fmt: skip
RECORD = {
    "at": 5.0, "daemon": "g1", "actor": "ops", "action": "drain", "subject": "target/t1",
    "before": "", "after": "drained", "generation": 1, "change_id": "", "record_id": "r",
}  # fmt: skip
IDLE = {"target": "t1", "answered": True, "drained": True, "running": 0, "waiting": 0}
RESPONSES = {
    "GET /v1/status": status(member("a1", 1), member("g1", 1)),
    "GET /v1/targets": [TARGET],
    "GET /v1/targets/t1": IDLE,
    "GET /v1/lots": {"lots": [LOT], "silent": []},
    "GET /v1/lots/lot-1": LOT,
    "POST /v1/lots/lot-1/cancel": {},
    "PUT /v1/models/assistant/version": {"model": "assistant", "version": 5, "active": 3},
    "POST /v1/targets/t1/drain": {"target": "t1", "drain": True, "durable": True, "in_force": True},
    "GET /v1/explain/lot-1/0/0%23x": [DECISION],
    "GET /v1/audit/unwritten": [RECORD],
    "GET /v1/manifest": {},
}


@pytest.fixture
def gateway(monkeypatch):
    fake = FakeGateway(dict(RESPONSES))
    monkeypatch.setenv("TURMERICREACH_GATEWAY", fake.url)
    yield fake
    fake.stop()


class ClosableStore(MemoryObjectStore):
    """An in-memory store that replaces the HTTP client."""

    async def close(self):
        pass


@pytest.fixture
def store(monkeypatch):
    memory_store = ClosableStore()
    monkeypatch.setattr(options.Platform, "open", lambda self: memory_store)
    monkeypatch.setenv("TURMERICREACH_PLATFORM", "http://platform")
    return memory_store


@pytest.fixture
def manifest(tmp_path):
    path = tmp_path / "manifest.yaml"
    path.write_text(MANIFEST_TEXT)
    return str(path)


def apply(manifest, *more):
    return main(["manifest", "apply", manifest, "--author", "ci", *more])


def test_apply_needs_a_base(store, manifest, capsys):
    """Guards against a script that overwrites an unseen change because a flag is missing."""
    assert apply(manifest) == ExitCode.BAD_INPUT
    assert apply(manifest, "--generation", "0", "--any-generation") == ExitCode.BAD_INPUT
    assert store.objects == {}
    assert "--generation N or --any-generation" in capsys.readouterr().err


def test_conflicting_apply(store, manifest, capsys):
    """Guards against overwriting a concurrent change, and a conflict without its own exit code."""
    assert apply(manifest, "--generation", "0") == ExitCode.OK
    assert apply(manifest, "--generation", "0") == ExitCode.CONFLICT
    assert "generation 1 is in force" in capsys.readouterr().err
    assert apply(manifest, "--any-generation") == ExitCode.OK
    assert main(["manifest", "history", "--output", "json"]) == ExitCode.OK
    rows = json.loads(capsys.readouterr().out.split("\n", 1)[1])
    assert [(row["generation"], row["author"]) for row in rows] == [(2, "ci"), (1, "ci")]


@pytest.mark.parametrize("faults", [{"lose_answers": 1}, {"lose_requests": 1}])
def test_lost_response_is_resolved(store, manifest, faults, capsys):
    """Guards against a change applied twice, or reported as failed, after a lost response."""
    for name, count in faults.items():
        setattr(store.faults, name, count)
    assert apply(manifest, "--generation", "0", "--output", "json") == ExitCode.OK
    assert json.loads(capsys.readouterr().out)["generation"] == 1


def test_result_stays_unknown(store, manifest, capsys):
    """Guards against reporting a write as failed although it may still take effect."""
    store.faults.lose_requests = 100
    assert apply(manifest, "--generation", "0") == ExitCode.UNKNOWN_RESULT
    assert "result is unknown" in capsys.readouterr().err


def test_wait_names_missing_daemons(store, gateway, manifest, capsys):
    """Guards against a wait that succeeds before every live daemon has the generation."""
    gateway.answers["GET /v1/status"] = status(member("a1", 0), member("g1", 1))
    assert apply(manifest, "--generation", "0", "--wait", "--timeout-s", "0.3") == (
        ExitCode.NOT_CONFIRMED
    )
    assert "not confirmed by: a1" in capsys.readouterr().out
    late = status(member("a1", 1), member("g1", 2))
    done = status(member("a1", 2), member("g1", 2), member("a2", 0, "suspect"))
    gateway.answers["GET /v1/status"] = Sequence(late, done)
    assert apply(manifest, "--generation", "1", "--wait", "--output", "json") == ExitCode.OK
    result = json.loads(capsys.readouterr().out)
    assert (result["in_force"], result["silent"]) == (["a1", "g1"], ["a2"])


def test_wait_knows_daemons_that_the_gateway_does_not(store, gateway, manifest, capsys):
    """Guards against a gateway that has just started and knows only itself confirming alone."""
    started = {**status(member("g1", 1)), "uptime_s": 1.0}
    gateway.answers["GET /v1/status"] = started
    words = ["--wait", "--timeout-s", "0"]
    assert apply(manifest, "--generation", "0", *words) == ExitCode.NOT_CONFIRMED
    assert "g1 has just started" in capsys.readouterr().out
    store.host_records = [
        HostRecord("a1", "", "turku", HostState.LIVE),
        HostRecord("a2", "", "turku", HostState.LEAVING),
    ]
    gateway.answers["GET /v1/status"] = status(member("g1", 2))
    assert apply(manifest, "--generation", "1", *words) == ExitCode.NOT_CONFIRMED
    assert "not confirmed by: a1" in capsys.readouterr().out


def test_diff_with_the_generation_in_force(store, manifest, tmp_path, capsys):
    """Guards against a comparison with a manifest that is not in force."""
    apply(manifest, "--generation", "0")
    changed = tmp_path / "changed.yaml"
    changed.write_text(MANIFEST_TEXT.replace("slots: 16", "slots: 32"))
    capsys.readouterr()
    assert main(["manifest", "diff", str(changed), "--output", "json"]) == ExitCode.OK
    result = json.loads(capsys.readouterr().out)
    assert result["changes"] == [{"path": "targets[t1].slots", "old": 16, "new": 32}]
    assert (result["generation"], result["source"]) == (1, "platform")


def test_outage_shows_what_the_daemons_hold(store, gateway, manifest, capsys):
    """Guards against commands that show nothing while the platform is unavailable."""
    apply(manifest, "--generation", "0")
    held = store.objects["config", "manifest"].value
    gateway.answers["GET /v1/manifest"] = json.loads(held)
    gateway.answers["GET /v1/status"] = status(member("a1", 1), platform_up=False)
    store.faults.down = True
    capsys.readouterr()
    for words, code, shown in [
        (["audit"], ExitCode.UNAVAILABLE, "target/t1"),
        (["manifest", "history"], ExitCode.UNAVAILABLE, "ci"),
        (["manifest", "diff", manifest], ExitCode.OK, "no difference from generation 1 (gateway)"),
    ]:
        assert main(words) == code
        screen = capsys.readouterr()
        assert "the platform is unavailable" in screen.err
        assert shown in screen.out
    assert main(["status"]) == ExitCode.OK
    assert "platform: DOWN for 12 s" in capsys.readouterr().out


def test_gateways_down(monkeypatch, gateway, capsys):
    """Guards against an error that does not name the gateways tried, and against a traceback."""
    stopped = FakeGateway({})
    stopped.stop()
    monkeypatch.delenv("TURMERICREACH_GATEWAY")
    other = "http://127.0.0.1:9"
    words = ["targets", "--gateway", stopped.url, "--gateway", other]
    assert main(words) == ExitCode.UNAVAILABLE
    line = capsys.readouterr().err
    assert stopped.url in line
    assert other in line
    assert line.count("\n") == 1
    assert main([*words, "--gateway", gateway.url]) == ExitCode.OK


def test_change_that_may_have_run(gateway, capsys):
    """Guards against a change reported as rejected although it may be in force."""
    error = {"code": "internal", "message": "m", "verdict": "may_have_run"}
    gateway.answers["POST /v1/targets/t1/drain"] = (500, {"error": error})
    assert main(["drain", "t1"]) == ExitCode.UNKNOWN_RESULT
    error["verdict"] = "not_run"
    assert main(["drain", "t1"]) == ExitCode.FAILED


def test_drain_waits_for_the_agent(gateway, capsys):
    """Guards against a drain that ends while the target still has work in flight."""
    busy = {**IDLE, "running": 2}
    gateway.answers["GET /v1/targets/t1"] = Sequence(
        {**IDLE, "answered": False}, {**IDLE, "drained": False}, busy, IDLE
    )
    assert main(["drain", "t1", "--wait"]) == ExitCode.OK
    assert sum(path == "/v1/targets/t1" for _, path, _ in gateway.calls) == 4
    gateway.answers["GET /v1/targets/t1"] = busy
    assert main(["drain", "t1", "--wait", "--timeout-s", "0"]) == ExitCode.NOT_CONFIRMED
    assert "2 running" in capsys.readouterr().out
    assert main(["drain", "t1", "--lift"]) == ExitCode.OK
    assert gateway.calls[-1] == ("POST", "/v1/targets/t1/drain", {"drain": False})


READING = [
    (["status"], "audit-config"),
    (["targets"], "assistant"),
    (["weights"], "assistant"),
    (["lots"], "10.0%"),
    (["lot", "status", "lot-1"], "stale"),
    (["lot", "cancel", "lot-1"], "cancelled"),
    (["weights", "announce", "assistant", "5"], "announced"),
    (["explain", "lot-1/0/0#x"], "attempt x1"),
    (["audit", "--subject", "target/"], "drained"),
]


@pytest.mark.parametrize(("words", "shown"), READING, ids=lambda value: str(value)[:30])
def test_both_forms_of_output(store, gateway, capsys, words, shown):
    """Guards against a command without a table, with control characters or with invalid JSON."""
    store.faults.down = words[0] == "audit"
    code = ExitCode.UNAVAILABLE if store.faults.down else ExitCode.OK
    assert main(words) == code
    table = capsys.readouterr().out
    assert shown in table
    assert "\x1b" not in table
    assert main([*words, "--output", "json"]) == code
    json.loads(capsys.readouterr().out)


def test_unknown_subject_has_an_exit_code_of_its_own(gateway, capsys):
    """Guards against a script that takes empty output for a request without problems."""
    gateway.answers["GET /v1/explain/nothing"] = []
    assert main(["explain", "nothing"]) == ExitCode.NOT_FOUND


def test_lots_names_gateways_that_do_not_respond(gateway, capsys):
    """Guards against a list that looks complete while the lots of a gateway are missing."""
    gateway.answers["GET /v1/lots"] = {"lots": [LOT], "silent": ["gateway-3"]}
    assert main(["lots", "--output", "json"]) == ExitCode.FAILED
    printed = capsys.readouterr()
    assert len(json.loads(printed.out)) == 1
    assert "gateway-3 did not respond" in printed.err


def test_weights_row(gateway, capsys):
    """Guards against a wanted version shown as the active one."""
    main(["weights", "--output", "json"])
    (row,) = json.loads(capsys.readouterr().out)
    assert (row["wanted"], row["active"], row["real"], row["prepared"]) == (4, 3, 2, 4)


def test_audit_filters(store, gateway, capsys):
    """Guards against a filter that hides a gap or shows changes that do not match."""
    store.faults.down = True
    gap = {**RECORD, "action": "gap", "subject": "audit", "actor": "g1", "record_id": "gap"}
    gateway.answers["GET /v1/audit/unwritten"] = [RECORD, {**RECORD, "actor": "eve"}, gap]
    for words, actors in [
        (["--actor", "ops"], ["ops", "g1"]),
        (["--subject", "lot/"], ["g1"]),
        (["--since", "1970-01-01T00:00:06"], []),
        (["--since", "36500d"], ["ops", "eve", "g1"]),
    ]:
        main(["audit", *words, "--output", "json"])
        rows = json.loads(capsys.readouterr().out)
        assert [row["actor"] for row in rows] == actors


@pytest.mark.parametrize(
    "words",
    [
        ["drain"],
        ["drain", "t1", "--colour"],
        ["drain", "t1", "--lift", "--wait"],
        ["manifest", "check", "/nonexistent"],
        ["audit", "--since", "yesterday"],
        ["nonsense"],
    ],
)
def test_bad_input_is_one_line(store, gateway, capsys, words):
    """Guards against tracebacks and multi-line boxes for a typing error."""
    assert main(words) == ExitCode.BAD_INPUT
    assert capsys.readouterr().err.count("\n") == 1


def test_unexpected_error_is_one_line_without_secrets(gateway, capsys, monkeypatch):
    """Guards against a traceback, and against a token in an error message."""

    def fail(self):
        raise RuntimeError("Authorization: Bearer abc123")

    monkeypatch.setattr(options.Api, "connect", fail)
    assert main(["status"]) == ExitCode.FAILED
    line = capsys.readouterr().err
    assert "abc123" not in line
    assert line.count("\n") == 1


def test_help_version_completion(capsys):
    """Guards against exit codes missing from the help, and a broken version or completion."""
    assert main(["drain", "--help"]) == ExitCode.OK
    text = " ".join(capsys.readouterr().out.split())
    for code in ExitCode:
        assert f"{int(code)} " in text.split("Exit codes:")[1]
    assert main(["--version"]) == ExitCode.OK
    assert main(["completion", "bash"]) == ExitCode.OK
    assert "_turmericreach" in capsys.readouterr().out
