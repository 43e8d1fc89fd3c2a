"""The commands of the quickstart page, run in order as a reader would run them."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

from demo.layout import free_ports

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "quickstart.md"
BLOCK = re.compile(r"^```bash\n(.*?)^```$", re.MULTILINE | re.DOTALL)
PORT = re.compile(r"\b7[14]\d\d\b")
RUN_LIMIT_S = 50
# A failing command ends the script, and the exit trap ends its background processes.
PRELUDE = "set -eu\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n"


def page_script() -> str:
    """Return the commands of the page, with free ports in place of the printed ones."""
    text = "".join(BLOCK.findall(PAGE.read_text()))
    printed = sorted(set(PORT.findall(text)))
    ports = dict(zip(printed, free_ports(len(printed)), strict=True))
    return PRELUDE + PORT.sub(lambda match: str(ports[match.group()]), text)


def run_page(folder: Path) -> str:
    """Run the commands of the page and return what they print."""
    environment = dict(os.environ, PYTHONPATH=str(ROOT))
    environment["PATH"] = f"{Path(sys.executable).parent}{os.pathsep}{environment['PATH']}"
    shell = subprocess.Popen(
        ["bash", "-c", page_script()],
        cwd=folder,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        printed, _ = shell.communicate(timeout=RUN_LIMIT_S)
    except subprocess.TimeoutExpired:
        # The shell cannot run its trap while a command hangs, so the whole process group is killed.
        os.killpg(shell.pid, signal.SIGKILL)
        printed, _ = shell.communicate()
    assert shell.returncode == 0, printed
    return printed


def test_the_commands_of_the_page_do_what_it_says(tmp_path):
    """Guards against a page whose commands or output no longer match the programs."""
    printed = run_page(tmp_path)
    assert '{"state":"ready"}' in printed
    assert len((tmp_path / "samples.jsonl").read_text().splitlines()) == 16
    assert "turmericreach-verdict: answered" in printed
    orders = re.findall(r'\{"request_id":"(\w+)","method":"POST"[^}]*"execution":(\d+)', printed)
    assert len(orders) == 2
    assert orders[0] == orders[1]
    assert "portal-1: nothing in flight" in printed
    assert "portal-1: drain lifted" in printed
    assert re.search(r"targets\[portal-1\]\.slots +32 +16", printed)
    assert "racing apply: exit code 3" in printed
    assert "rejected manifest: exit code 2" in printed
    assert re.search(r"^ *assistant-1 +assistant +2 +2 +2 ", printed, re.MULTILINE)
    assert re.search(r"^request \w+, attempt ", printed, re.MULTILINE)
    for change in ("apply +manifest", "drain +target/portal-1", "undrain +target/portal-1"):
        assert re.search(rf" {change} ", printed), change
    assert re.search(r" announce +model/assistant ", printed)
    assert printed.count('{"state":"ready"}') == 2
    assert "handed to trainer-1 at version 1" in printed
