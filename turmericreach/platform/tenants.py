"""Tenants in a configuration: as operators write them, and as processes pass them on."""

import base64
import binascii
from typing import Any

import attrs

from turmericreach.metadata.objects import StoredObject
from turmericreach.platform.decoding import DecodeError, Fields
from turmericreach.platform.store import CONFIGURATION_KIND
from turmericreach.tenancy.table import DIGEST_BYTES, Tenant, TenantTable

__all__ = ["decode_tenants", "keys_by_tenant", "protect_keys"]

# All keys of a configuration together.
MAX_KEY_BYTES = 10 << 20
MAX_NAME_CHARS = 256


def protect_keys(object: StoredObject) -> StoredObject:
    """Return an object of the store with digests instead of the API keys of tenants.

    What processes keep of a configuration and send to each other must not hold the keys. An
    invalid list of tenants is replaced by its error, since it may hold keys as well.
    """
    spec = object.spec
    if object.kind != CONFIGURATION_KIND or not isinstance(spec, dict):
        return object
    if spec.get("tenants") is None:
        return object
    try:
        tenants = encode_table(decode_list(Fields(spec)))
    except DecodeError as error:
        tenants = {"problem": str(error)}
    return attrs.evolve(object, spec={**spec, "tenants": tenants})


def decode_tenants(fields: Fields) -> TenantTable | None:
    """Return the tenants of a configuration, or None if it has none.

    Parameters
    ----------
    fields : Fields
        The configuration, as an operator wrote it or with digests as `protect_keys` returns it.

    Raises
    ------
    DecodeError
        If an entry is invalid; the message names the entry, but no key.
    """
    value = fields.value.get("tenants")
    if value is None:
        return None
    if isinstance(value, dict):
        return decode_table(fields.object("tenants"))
    return decode_list(fields)


def decode_list(fields: Fields) -> TenantTable:
    """Return the tenants that an operator wrote."""
    entries: list[tuple[Tenant, list[str]]] = []
    owners: dict[str, str] = {}
    total_bytes = 0
    for index, value in enumerate(fields.list("tenants")):
        entry = Fields(value, f"tenants[{index}]")
        tenant = decode_tenant(entry)
        keys = entry.list("apiKeys", [])
        for number, key in enumerate(keys):
            if not is_field_text(key):
                raise key_error(entry, number, "cannot be sent in a header field")
            if owners.setdefault(key, tenant.name) != tenant.name:
                raise key_error(entry, number, f"tenant {owners[key]!r} has the same key")
            total_bytes += len(key)
            if total_bytes > MAX_KEY_BYTES:
                raise key_error(entry, number, f"more than {MAX_KEY_BYTES >> 20} MB of keys")
        entries.append((tenant, keys))
    return TenantTable.from_keys(entries)


def key_error(entry: Fields, number: int, problem: str) -> DecodeError:
    """Return the error of a key, which names its place and not the key."""
    return DecodeError(f"{entry.field_path('apiKeys')}[{number}]: {problem}")


def is_field_text(value: Any) -> bool:
    """Return whether a value arrives unchanged if it is sent in a header field."""
    if not isinstance(value, str) or not value:
        return False
    return value.isascii() and value.isprintable() and value[0] != " " != value[-1]


def decode_tenant(entry: Fields) -> Tenant:
    """Return one tenant without its keys."""
    name = entry.text("name")
    if not name:
        raise DecodeError(f"{entry.field_path('name')}: empty")
    if len(name) > MAX_NAME_CHARS or not is_field_text(name):
        raise DecodeError(f"{entry.field_path('name')}: cannot be sent in a header field")
    return Tenant(name, entry.integer("priority", None))


def encode_table(table: TenantTable) -> dict[str, Any]:
    """Return a table as processes pass it on."""
    digests: dict[int, list[bytes]] = {id(tenant): [] for tenant in table.tenants}
    for digest, tenant in table.by_digest.items():
        digests[id(tenant)].append(digest)
    tenants = []
    for tenant in table.tenants:
        joined = base64.b64encode(b"".join(digests[id(tenant)])).decode()
        tenants.append({"name": tenant.name, "priority": tenant.priority, "digests": joined})
    return {"secret": base64.b64encode(table.secret).decode(), "tenants": tenants}


def decode_table(fields: Fields) -> TenantTable:
    """Return a table that another process has passed on."""
    problem = fields.text("problem", "")
    if problem:
        raise DecodeError(problem)
    tenants, by_digest = [], {}
    for index, value in enumerate(fields.list("tenants")):
        entry = Fields(value, f"tenants[{index}]")
        tenant = decode_tenant(entry)
        tenants.append(tenant)
        joined = decode_base64(entry, "digests")
        for start in range(0, len(joined), DIGEST_BYTES):
            by_digest[joined[start : start + DIGEST_BYTES]] = tenant
    return TenantTable(decode_base64(fields, "secret"), tuple(tenants), by_digest)


def decode_base64(fields: Fields, key: str) -> bytes:
    """Return the bytes of a field."""
    try:
        return base64.b64decode(fields.text(key), validate=True)
    except (binascii.Error, ValueError) as error:
        raise DecodeError(f"{fields.field_path(key)}: invalid base64") from error


def keys_by_tenant(spec: Any) -> dict[str, frozenset[str]]:
    """Return the keys of each tenant of a configuration as an operator wrote it.

    Only a command that compares two configurations needs them; processes keep digests.
    """
    found = {}
    for index, value in enumerate(Fields(spec).list("tenants", [])):
        entry = Fields(value, f"tenants[{index}]")
        found[entry.text("name")] = frozenset(entry.list("apiKeys", []))
    return found
