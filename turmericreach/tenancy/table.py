"""Lookup of the tenant to which an API key belongs."""

import hashlib
import secrets
from typing import Self

import attrs

__all__ = ["DIGEST_BYTES", "Tenant", "TenantTable", "digest_key"]

SECRET_BYTES = 32
# Two keys out of a million share a digest of this length with a probability below 1e-26.
DIGEST_BYTES = 16


@attrs.frozen
class Tenant:
    """A tenant.

    Attributes
    ----------
    name : str
        Name, which targets get with each request.
    priority : int or None
        Priority of its requests instead of that of their route; None to use that of the route.
    """

    name: str
    priority: int | None = None


@attrs.frozen(eq=False, repr=False)
class TenantTable:
    """Tenants and the digests of their keys.

    Load pattern: 100,000 keys, of which each request presents one. A lookup hashes the key and
    reads one entry of a dictionary, so its time does not grow with the number of keys. The digests
    depend on a random secret, so the time of a lookup tells a caller nothing about other keys.

    Attributes
    ----------
    secret : bytes
        Key of the digests, chosen at random by the process that read the keys.
    tenants : tuple of Tenant
        All tenants.
    by_digest : dict of bytes to Tenant
        Tenant of each key, by the digest of the key.
    """

    secret: bytes
    tenants: tuple[Tenant, ...] = ()
    by_digest: dict[bytes, Tenant] = attrs.field(factory=dict)

    @classmethod
    def from_keys(cls, entries: list[tuple[Tenant, list[str]]]) -> Self:
        """Return the table of tenants and their keys; the keys themselves are not kept."""
        secret = secrets.token_bytes(SECRET_BYTES)
        # A copy saves hashing the secret again for each key.
        empty = hashlib.blake2b(digest_size=DIGEST_BYTES, key=secret)
        by_digest = {}
        for tenant, keys in entries:
            for key in keys:
                digest = empty.copy()
                digest.update(key.encode())
                by_digest[digest.digest()] = tenant
        return cls(secret, tuple(tenant for tenant, _ in entries), by_digest)

    def find(self, key: str) -> Tenant | None:
        """Return the tenant to which a key belongs, or None if the key is unknown."""
        return self.by_digest.get(digest_key(self.secret, key))

    def priority(self, name: str) -> int | None:
        """Return the priority of a tenant, or None if it has none or is unknown."""
        for tenant in self.tenants:
            if tenant.name == name:
                return tenant.priority
        return None


def digest_key(secret: bytes, key: str) -> bytes:
    """Return the digest of a key under a secret."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES, key=secret).digest()
