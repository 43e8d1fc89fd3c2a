"""Recognition of requests that come again under another id."""

import xxhash

__all__ = ["request_fingerprint"]


def request_fingerprint(method: str, host: str, target: str, caller: str, body: bytes) -> str:
    """Return a digest that is the same for each arrival of a request.

    Parameters
    ----------
    method, host, target : str
        Request line and host, with path and query as received.
    caller : str
        What identifies the caller, such as its credentials; empty if nothing does.
    body : bytes
        The complete body.
    """
    digest = xxhash.xxh3_128()
    for part in (method.encode(), host.lower().encode(), target.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
