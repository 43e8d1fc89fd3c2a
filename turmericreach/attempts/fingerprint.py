"""Recognition of ordinary requests that come again under another id."""

from collections.abc import Iterable

from turmericreach.sharing import request_fingerprint

__all__ = ["attempt_fingerprint"]


def attempt_fingerprint(
    service: str, method: str, path: str, headers: Iterable[tuple[str, str]], body: bytes
) -> str:
    """Return a digest that is the same at gateways and agents each time a request comes."""
    caller = next((value for name, value in headers if name.lower() == "authorization"), "")
    return request_fingerprint(method, service, path, caller, body)
