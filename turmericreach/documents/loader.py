"""YAML to nodes, with the scalar rules of YAML 1.2."""

import re

import yaml

from turmericreach.documents.problem import Problem

__all__ = ["MAX_DOCUMENT_CHARACTERS", "CoreLoader", "compose"]

# Twice the largest value of the object API; a larger text cannot be applied anyway.
MAX_DOCUMENT_CHARACTERS = 2_000_000


class CoreLoader(yaml.SafeLoader):
    """Loader without the YAML 1.1 scalars.

    YAML 1.1 reads ``18:00`` as the number 1080 and ``no`` as false, which breaks opening times and
    names.
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
    """Return the root node of a document, or the problem that prevents reading it."""
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
    """Return text without line breaks."""
    return " ".join(str(text).split())
