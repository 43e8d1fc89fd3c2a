"""Time to read and to resolve API keys: ``python -m benchmarks.tenants [KEYS]``."""

import random
import secrets
import sys
import time

from turmericreach.metadata import StoredObject
from turmericreach.platform.documents import decode_configuration
from turmericreach.platform.tenants import protect_keys
from turmericreach.tenancy import Contact, RevocationRule, authenticate

TENANTS = 80
LOOKUPS = 200_000
US = 1e6


def main() -> None:
    """Measure with the number of keys given on the command line, and print one line."""
    number = int(sys.argv[1]) if len(sys.argv) > 1 else 100_000
    keys = [secrets.token_urlsafe(24) for _ in range(number)]
    tenants = [{"name": f"t{n}", "apiKeys": keys[n::TENANTS]} for n in range(TENANTS)]
    spec = {"version": 1, "tenants": tenants}
    began = time.perf_counter()
    protected = protect_keys(StoredObject("config", "main", 1, spec, None))
    read_s = time.perf_counter() - began
    began = time.perf_counter()
    table = decode_configuration(protected.spec).tenants
    decode_s = time.perf_counter() - began
    source = random.Random(1)
    known = [f"Bearer {source.choice(keys)}" for _ in range(LOOKUPS)]
    unknown = [f"Bearer {secrets.token_urlsafe(24)}" for _ in range(LOOKUPS)]
    contact, rule = Contact(0.1, 0.1), RevocationRule()
    times = []
    for presented in (known, unknown):
        began = time.perf_counter()
        for value in presented:
            authenticate(table, [value], False, contact, rule)
        times.append((time.perf_counter() - began) / LOOKUPS * US)
    print(
        f"{number} keys: read from the store {read_s:.3f} s, "
        f"from the coordinator {decode_s:.3f} s; "
        f"known key {times[0]:.2f} us, unknown key {times[1]:.2f} us"
    )


if __name__ == "__main__":
    main()
