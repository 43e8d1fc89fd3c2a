"""Decoding of the objects that operators, trainers and targets write to the metadata store."""

import re
from typing import Any

import attrs

from turmericreach.http1 import ServerLimits, is_address
from turmericreach.metadata.objects import StoredObject
from turmericreach.platform.decoding import DecodeError, Fields
from turmericreach.platform.tenants import decode_tenants
from turmericreach.services.configuration import (
    Configuration,
    EngineLimits,
    Route,
    RouteKind,
    Service,
    WeightedService,
    normalize_host,
)
from turmericreach.services.target import TargetRecord

__all__ = [
    "RetirementRequest",
    "RequestedVersion",
    "decode_configuration",
    "decode_model_versions",
    "decode_retirement",
    "decode_target",
    "decode_version",
    "retirement_completed_status",
]

MS = 1000.0

# What an entry of a target may hold; all of it is kept in memory, and slots cost time at each
# placement.
MAX_TEXT_CHARS = 256
MAX_MODELS = 256
MAX_SLOTS = 10_000
# The id of a target is sent in a header field.
TARGET_ID = re.compile(r"[\x21-\x7e]{1,256}")

KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}


@attrs.frozen
class RequestedVersion:
    """Version of the weights of a model that a trainer requests to be loaded.

    Attributes
    ----------
    model : str
        Name of the model.
    version : int
        Version of its weights.
    """

    model: str
    version: int


@attrs.frozen
class RetirementRequest:
    """Request to move all data off a host.

    Attributes
    ----------
    host : str
        Host to retire.
    done : bool
        Whether the host is already recorded as empty.
    """

    host: str
    done: bool


def decode_configuration(spec: Any) -> Configuration:
    """Return the configuration in the spec that an operator wrote.

    Raises
    ------
    DecodeError
        If the spec does not have the expected form.
    """
    fields = Fields(spec)
    routes = []
    for index, value in enumerate(fields.list("routes", [])):
        routes.append(decode_route(Fields(value, f"routes[{index}]")))
    services = {}
    for index, value in enumerate(fields.list("services", [])):
        service = decode_service(Fields(value, f"services[{index}]"))
        services[service.name] = service
    limits = fields.object("limits", {})
    return Configuration(
        version=fields.integer("version"),
        routes=tuple(routes),
        services=services,
        limits=ServerLimits(
            header_bytes=limits.integer("maxHeaderBytes", 16_384),
            body_bytes=limits.integer("maxBodyBytes", 32 << 20),
            header_timeout_s=limits.number("headerTimeoutMs", 3000) / MS,
            idle_timeout_s=limits.number("idleTimeoutMs", 15_000) / MS,
        ),
        tenants=decode_tenants(fields),
    )


def decode_route(fields: Fields) -> Route:
    """Return one route of a configuration."""
    kind = fields.text("kind", "unsafe")
    parts = []
    for value in fields.list("split", []):
        part = Fields(value, fields.field_path("split"))
        parts.append(WeightedService(part.text("service"), part.number("weight", 1)))
    if not parts:
        parts.append(WeightedService(fields.text("service"), 1.0))
    timeout_s = fields.number("timeoutMs", 30_000) / MS
    return Route(
        name=fields.text("name"),
        host=normalize_host(fields.text("host")),
        path_prefix=fields.text("pathPrefix"),
        # An unknown kind counts as unsafe, so that its requests run at most once.
        kind=KINDS.get(kind, RouteKind.UNSAFE),
        services=tuple(parts),
        timeout_s=timeout_s,
        max_attempts=max(fields.integer("maxAttempts", 2), 1),
        priority=fields.integer("priority", 0),
        resumable=fields.boolean("resumable", False),
        single_version=fields.boolean("singleVersion", False),
        due_s=fields.number("dueMs", 10_000) / MS,
        item_lifetime_s=fields.number("queueTtlS", 60),
        public=fields.boolean("public", False),
    )


def decode_service(fields: Fields) -> Service:
    """Return one service of a configuration."""
    engine = None
    if fields.value.get("engine") is not None:
        engine = decode_engine(fields.object("engine"))
    return Service(
        name=fields.text("name"),
        engine=engine,
    )


def decode_engine(fields: Fields) -> EngineLimits:
    """Return the limits of the engines of a service."""
    models = []
    for value in fields.list("models", []):
        models.append(Fields(value, fields.field_path("models")).text("name"))
    return EngineLimits(
        slots=fields.integer("slots", 1),
        models=tuple(models),
        tokens_per_event=fields.number("stride", 1.0),
    )


def decode_target(object: StoredObject) -> TargetRecord:
    """Return the record that a target registered.

    Raises
    ------
    DecodeError
        If the record does not describe a usable target.
    """
    fields = Fields(object.spec)
    state = fields.text("state")
    if state not in ("ready", "draining"):
        raise DecodeError(f"state: unexpected {state!r}")
    if not TARGET_ID.fullmatch(object.name):
        raise DecodeError("name: cannot be sent in a header field")
    address = fields.text("address")
    if not is_address(address):
        raise DecodeError(f"address: unexpected {address[:MAX_TEXT_CHARS]!r}")
    slots = fields.integer("slots", 1)
    if slots > MAX_SLOTS:
        raise DecodeError(f"slots: more than {MAX_SLOTS}")
    return TargetRecord(
        id=object.name,
        started_ms=fields.integer("born", 0),
        service=short_text(fields, "service"),
        address=address,
        data_centre=short_text(fields, "zone", ""),
        slots=max(slots, 1),
        draining=state == "draining",
        model_versions=decode_model_versions(fields),
        orders_accepted=fields.integer("seq", 0),
        software_version=short_text(fields, "version", ""),
    )


def short_text(fields: Fields, key: str, default: Any = ...) -> str:
    """Return a field that is a text of bounded length."""
    text = fields.text(key, default)
    if len(text) > MAX_TEXT_CHARS:
        raise DecodeError(f"{fields.field_path(key)}: longer than {MAX_TEXT_CHARS} characters")
    return text


def decode_model_versions(fields: Fields) -> dict[str, int]:
    """Return the version of the weights of each model that a target names."""
    models = fields.list("models", [])
    if len(models) > MAX_MODELS:
        raise DecodeError(f"models: more than {MAX_MODELS}")
    versions = {}
    for value in models:
        model = Fields(value, "models")
        versions[short_text(model, "name")] = model.integer("version")
    return versions


def decode_version(object: StoredObject) -> RequestedVersion:
    """Return the version that a trainer requests; the object is named after the model."""
    fields = Fields(object.spec)
    return RequestedVersion(fields.text("model", object.name), fields.integer("version"))


def decode_retirement(object: StoredObject) -> RetirementRequest:
    """Return a request to retire a host."""
    status = object.status if isinstance(object.status, dict) else {}
    return RetirementRequest(object.name, status.get("state") == "completed")


def retirement_completed_status() -> dict[str, str]:
    """Return the status to write once a host holds no more data."""
    return {"state": "completed"}
