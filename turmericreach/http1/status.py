"""Statuses that a response may have."""

__all__ = ["is_interim", "status_problem"]

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
VERSIONS = ("1.0", "1.1")


def is_interim(status: int) -> bool:
    """Return whether another response follows one with this status."""
    return status < MIN_FINAL_STATUS


def status_problem(status: int, version: str) -> str:
    """Return why a status line is none of HTTP/1.1, or an empty string if it is one.

    Nobody here asks for another protocol, so 101 is no answer to any request. What a server that
    sends such a line has done with the request is unknown.
    """
    if version not in VERSIONS:
        return f"the response has version {version}"
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"status {status:03d} is no status of HTTP"
    if status == SWITCHING_PROTOCOLS:
        return "the server switches protocols unasked"
    return ""
