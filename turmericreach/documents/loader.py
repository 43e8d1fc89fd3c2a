"""Parses YAML into nodes, with the scalar rules of YAML 1.2."""

import re

import yaml

from turmericreach.documents.problem import Problem

__all__ = ["MAX_DOCUMENT_CHARACTERS", "CoreLoader", "compose"]

# Twice the size limit of a value in the object API; a longer document could not be stored.
MAX_DOCUMENT_CHARACTERS = 2_000_000


class CoreLoader(yaml.SafeLoader):
    """YAML loader that resolves scalars by the core schema of YAML 1.2.

    YAML 1.1 reads ``18:00`` as the number 1080 and ``no`` as false, which would corrupt opening
    times and names.
    """

    yaml_implicit_resolvers = {}


CoreLoader.add_implicit_resolver(
    "tag:yaml.org,2002:bool", re.compile(r"^(?:true|True|TRUE|false|False|FALSE)$"), list("tTfF")
)
CoreLoader.add_implicit_resolver(
    "tag:yaml.org,2002:null", re.compile(r"^(?:~|null|Null|NULL|)$"), ["~", "n", "N", ""]
)
CoreLoader.add_implicit_resolver(
    "tag:yaml.org,2002:int", re.compile(r"^[-+]?(?:0|[1-9][0-9]*)$"), list("-+0123456789")
)
CoreLoader.add_implicit_resolver(
    "tag:yaml.org,2002:float",
    re.compile(r"^[-+]?(?:[0-9]+\.[0-9]*|\.[0-9]+|[0-9]+)(?:[eE][-+]?[0-9]+)?$"),
    list("-+0123456789."),
)


def compose(text: str) -> tuple[yaml.Node | None, list[Problem]]:
    """Return the root node of a document, or None and the problem that prevents parsing it."""
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        return None, [Problem(0, "", f"longer than {MAX_DOCUMENT_CHARACTERS} characters")]
    try:
        node = yaml.compose(text, Loader=CoreLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        return None, [Problem(line, "", f"not valid YAML: {one_line(error.problem)}")]
    except (yaml.YAMLError, ValueError) as error:
        return None, [Problem(0, "", f"not valid YAML: {one_line(error)}")]
    except RecursionError:
        return None, [Problem(0, "", "not valid YAML: nested too deeply")]
    if node is None:
        return None, [Problem(1, "", "empty document, expected a mapping")]
    return node, []


def one_line(text: object) -> str:
    """Return the text of an object in one line."""
    return " ".join(str(text).split())
