"""Prompts of the demo, from a file in the repository."""

import json
from pathlib import Path

__all__ = ["read_prompts"]

PROMPTS_FILE = Path(__file__).with_name("prompts.jsonl")


def read_prompts() -> list[str]:
    """Return the prompts of the file."""
    return [json.loads(line)["prompt"] for line in PROMPTS_FILE.read_text().splitlines()]
