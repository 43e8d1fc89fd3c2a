"""JSON Schema of the manifest, derived from its attrs classes."""

import enum
import typing
from typing import Any

import attrs

from turmericreach.manifest.schema import Manifest

__all__ = ["manifest_schema"]

DIALECT = "https://json-schema.org/draft/2020-12/schema"
JSON_TYPES = {str: "string", int: "integer", float: "number", bool: "boolean"}


def manifest_schema() -> dict[str, Any]:
    """Return the JSON Schema (2020-12) of the manifest.

    It covers types, keys and limits; only `load_manifest` checks references between values.
    """
    definitions: dict[str, Any] = {}
    root = object_schema(Manifest, definitions)
    return {"$schema": DIALECT, "title": "turmericreach manifest", **root, "$defs": definitions}


def object_schema(model: type, definitions: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of an attrs class, and add the classes it refers to to `definitions`."""
    properties = {}
    required = []
    for field in attrs.fields(attrs.resolve_types(model)):
        value = type_schema(field.type, definitions)
        value.update(field.metadata)
        if field.default is attrs.NOTHING:
            required.append(field.name)
        elif not isinstance(field.default, attrs.Factory):
            value["default"] = field.default
        properties[field.name] = value
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def type_schema(kind: Any, definitions: dict[str, Any]) -> dict[str, Any]:
    """Return the schema of a field's type; attrs classes become references into `definitions`."""
    if attrs.has(kind):
        if kind.__name__ not in definitions:
            definitions[kind.__name__] = object_schema(kind, definitions)
        return {"$ref": f"#/$defs/{kind.__name__}"}
    if typing.get_origin(kind) is list:
        return {"type": "array", "items": type_schema(typing.get_args(kind)[0], definitions)}
    if issubclass(kind, enum.Enum):
        return {"enum": [member.value for member in kind]}
    return {"type": JSON_TYPES[kind]}
