"""Checks of the deploy file, which says how programs are built and on which hosts they run."""

import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

__all__ = ["check_deploy_file"]

# Classes of machines that a role may run on.
CLASSES = ("front", "store", "side")
# Interfaces that a role may serve.
SERVED = ("front", "store", "side", "control")
# Roles per class of machines.
MAX_ROLES = 2


def check_deploy_file(path: Path) -> list[str]:
    """Return the problems of a deploy file, each with the key that it concerns."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return [f"{path}: {error}"]
    problems = []
    if not isinstance(document.get("build"), str):
        problems.append("build: expected a command")
    roles = document.get("roles")
    if not isinstance(roles, dict) or not roles:
        return [*problems, "roles: expected at least one"]
    for name, role in roles.items():
        problems += check_role(f"roles.{name}", role, path.parent.parent)
    return problems + check_role_combination(roles)


def check_role(key_path: str, role: Any, root: Path) -> list[str]:
    """Return the problems of one role; paths of its command are relative to `root`."""
    if not isinstance(role, dict):
        return [f"{key_path}: expected a table"]
    problems = []
    run = role.get("run")
    if not isinstance(run, str) or not run.split():
        problems.append(f"{key_path}.run: expected a command")
    else:
        problems += find_missing_files(f"{key_path}.run", run, root)
    if role.get("on") not in CLASSES:
        problems.append(f"{key_path}.on: expected one of {', '.join(CLASSES)}")
    share = role.get("share", 1.0)
    if not isinstance(share, int | float) or isinstance(share, bool) or not 0 < share <= 1:
        problems.append(f"{key_path}.share: expected more than 0 and at most 1")
    if "count" in role and (not isinstance(role["count"], int) or role["count"] < 1):
        problems.append(f"{key_path}.count: expected an integer above 0")
    for value in role.get("serves", []):
        if value not in SERVED:
            problems.append(f"{key_path}.serves: unexpected {value!r}")
    port = str(role.get("metrics", "1/x")).partition("/")[0]
    if not port.isdigit():
        problems.append(f"{key_path}.metrics: expected PORT/PATH")
    return problems


def find_missing_files(key_path: str, run: str, root: Path) -> list[str]:
    """Return a problem for each Python file of a command that does not exist."""
    problems = []
    for word in run.split():
        if word.endswith(".py") and not (root / word).is_file():
            problems.append(f"{key_path}: {word} does not exist")
    return problems


def check_role_combination(roles: dict[str, Any]) -> list[str]:
    """Return the problems of the roles in combination, such as two roles that serve the same."""
    problems = []
    served = Counter()
    classes = Counter()
    for role in roles.values():
        if not isinstance(role, dict):
            continue
        classes[role.get("on")] += 1
        served.update((role.get("on"), value) for value in role.get("serves", []))
    for (machine_class, value), number in served.items():
        if number > 1:
            problems.append(f"roles: {number} roles on {machine_class} serve {value}")
    for machine_class, number in classes.items():
        if number > MAX_ROLES:
            problems.append(f"roles: {number} roles on {machine_class}, at most {MAX_ROLES}")
    for value in ("front", "store"):
        if not any(served_value == value for _, served_value in served):
            problems.append(f"roles: none serves {value}")
    return problems
