"""Validation of YAML nodes against attrs classes: types, unknown and duplicate keys, limits."""

import enum
import math
import re
import typing
from typing import Any

import attrs
import cattrs
import yaml

from turmericreach.documents.loader import compose
from turmericreach.documents.problem import Problem

__all__ = ["CheckedDocument", "check_document", "structure"]

TAG_PREFIX = "tag:yaml.org,2002:"
TYPE_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "true or false"}

converter = cattrs.Converter(forbid_extra_keys=True)


@attrs.define
class CheckedDocument:
    """A document as far as it could be read, with its problems.

    Attributes
    ----------
    value : dict
        Valid values; invalid ones are left out of mappings and None in lists.
    lines : dict of str to int
        Line of each key path, counted from 1.
    problems : list of Problem
        Problems found so far.
    """

    value: dict[str, Any] = attrs.field(factory=dict)
    lines: dict[str, int] = attrs.field(factory=dict)
    problems: list[Problem] = attrs.field(factory=list)

    def add(self, key: str, message: str) -> None:
        """Add a problem at the line of a key, or of the nearest enclosing key in the document."""
        enclosing = key
        while enclosing and enclosing not in self.lines:
            enclosing = re.sub(r"(\.[^.\[]*|\[\d+\]|^[^.\[]*)$", "", enclosing)
        self.problems.append(Problem(self.lines.get(enclosing, 1), key, message))


def check_document(text: str, model: type) -> CheckedDocument:
    """Validate a YAML text against an attrs class.

    Parameters
    ----------
    text : str
        The document.
    model : type
        Attrs class of the root mapping.

    Returns
    -------
    CheckedDocument
        The valid values and all problems; it never raises for an invalid document.
    """
    node, problems = compose(text)
    document = CheckedDocument(problems=problems)
    if node is None:
        return document
    document.lines[""] = node.start_mark.line + 1
    validator = NodeValidator(document)
    value = validator.check(node, model, "")
    document.value = value if isinstance(value, dict) else {}
    return document


def structure(value: dict[str, Any], model: type) -> Any:
    """Return the attrs object of a value that was validated without problems."""
    return converter.structure(value, model)


class Missing(enum.Enum):
    """Type of the sentinel for a value that is invalid."""

    MISSING = 0


MISSING = Missing.MISSING


class NodeValidator:
    """Validates the nodes of one document and collects the problems in it."""

    def __init__(self, document: CheckedDocument):
        self.document = document
        self.visited: set[int] = set()

    def check(self, node: yaml.Node, expected: type, path: str, limits=None) -> Any:
        """Return the value of a node, or `MISSING` after adding a problem."""
        if id(node) in self.visited:
            # Nested aliases can expand a short text to an exponentially large value.
            return self.fail(path, "YAML aliases are not supported")
        self.visited.add(id(node))
        if attrs.has(expected):
            return self.check_mapping(node, expected, path)
        if typing.get_origin(expected) is list:
            return self.check_list(node, typing.get_args(expected)[0], path)
        return self.check_scalar(node, expected, path, limits or {})

    def fail(self, path: str, message: str) -> Missing:
        """Add a problem and return `MISSING`."""
        self.document.add(path, message)
        return MISSING

    def check_mapping(self, node: yaml.Node, expected: type, path: str) -> Any:
        """Check a mapping against the fields of an attrs class."""
        if not isinstance(node, yaml.MappingNode):
            return self.fail(path, f"expected a mapping, found {describe(node)}")
        fields = attrs.fields_dict(attrs.resolve_types(expected))
        found: set[str] = set()
        value = {}
        for key_node, value_node in node.value:
            key = key_node.value if isinstance(key_node, yaml.ScalarNode) else "?"
            key_path = f"{path}.{key}" if path else key
            line = key_node.start_mark.line + 1
            if key in found:
                problem = Problem(line, key_path, "duplicate key")
                self.document.problems.append(problem)
                continue
            found.add(key)
            self.document.lines[key_path] = line
            if key not in fields:
                self.fail(key_path, f"unknown key, expected one of {', '.join(fields)}")
                continue
            field = fields[key]
            item = self.check(value_node, field.type, key_path, field.metadata)
            if item is not MISSING:
                value[key] = item
        for name, field in fields.items():
            if name not in found and field.default is attrs.NOTHING:
                self.fail(f"{path}.{name}" if path else name, "missing, a value is required")
        return value

    def check_list(self, node: yaml.Node, expected: type, path: str) -> Any:
        """Check each item of a list."""
        if not isinstance(node, yaml.SequenceNode):
            return self.fail(path, f"expected a list, found {describe(node)}")
        value = []
        for index, item_node in enumerate(node.value):
            item_path = f"{path}[{index}]"
            self.document.lines[item_path] = item_node.start_mark.line + 1
            item = self.check(item_node, expected, item_path)
            # An invalid item keeps its index so that the paths of later items stay correct.
            value.append(None if item is MISSING else item)
        return value

    def check_scalar(self, node: yaml.Node, expected: type, path: str, limits) -> Any:
        """Check a text, a number, a Boolean or a member of an enum."""
        if issubclass(expected, enum.Enum):
            choices = [str(member.value) for member in expected]
            if isinstance(node, yaml.ScalarNode) and node.value in choices:
                return node.value
            return self.fail(path, f"expected one of {', '.join(choices)}, found {describe(node)}")
        value = read_scalar(node, expected)
        if value is MISSING:
            return self.fail(path, f"expected {TYPE_NAMES[expected]}, found {describe(node)}")
        message = limit_message(value, limits)
        if message:
            return self.fail(path, f"{message}, found {describe(node)}")
        return value


def read_scalar(node: yaml.Node, expected: type) -> Any:
    """Return the value of a scalar node, or `MISSING` if it has another type than expected."""
    if not isinstance(node, yaml.ScalarNode):
        return MISSING
    kind = node.tag.removeprefix(TAG_PREFIX)
    if expected is str and kind == "str":
        return node.value
    if expected is bool and kind == "bool":
        return node.value.lower() == "true"
    # Python raises ValueError for very long digit strings; the limit also bounds the cost.
    if kind not in ("int", "float") or len(node.value) > 40:
        return MISSING
    if expected is int and kind == "int":
        return int(node.value)
    if expected is float:
        number = float(node.value)
        return number if math.isfinite(number) else MISSING
    return MISSING


def limit_message(value: Any, limits) -> str:
    """Return what a limit expects that the value violates, or an empty text."""
    if "minimum" in limits and value < limits["minimum"]:
        return f"expected at least {limits['minimum']}"
    if "exclusiveMinimum" in limits and value <= limits["exclusiveMinimum"]:
        return f"expected more than {limits['exclusiveMinimum']}"
    if "maximum" in limits and value > limits["maximum"]:
        return f"expected at most {limits['maximum']}"
    if "pattern" in limits and not re.fullmatch(limits["pattern"], value):
        return f"expected text that matches {limits['pattern']}"
    return ""


def describe(node: yaml.Node) -> str:
    """Return a short description of a node for error messages."""
    if isinstance(node, yaml.MappingNode):
        return "a mapping"
    if isinstance(node, yaml.SequenceNode):
        return "a list"
    return repr(node.value[:60])
