"""Ids of the requests that a connection has carried, by which late responses are recognised."""

from turmericreach.http1.headers import Headers

__all__ = ["CarriedIds"]

# Number of the newest requests of a connection whose ids are kept. A late response to an older one
# is not expected any more.
MAX_CARRIED_IDS = 128


class CarriedIds:
    """Header fields that identify the responses to the newest requests of a connection.

    A late extra response repeats the id of its request, so a connection must not carry another
    request with the same id.

    Attributes
    ----------
    hashes : dict of int to None
        Hashes of the fields, the oldest first.
    """

    def __init__(self):
        self.hashes: dict[int, None] = {}

    def __len__(self) -> int:
        return len(self.hashes)

    def record(self, echo: tuple[str, str] | None) -> None:
        """Keep what identifies the response to a request, and forget the oldest one if needed."""
        if echo is None:
            return
        self.hashes[hash(echo)] = None
        if len(self.hashes) > MAX_CARRIED_IDS:
            del self.hashes[next(iter(self.hashes))]

    def may_carry(self, echo: tuple[str, str] | None) -> bool:
        """Return whether no late response can be taken for that of a request."""
        return echo is None or hash(echo) not in self.hashes

    def is_mismatched(self, echo: tuple[str, str] | None, headers: Headers) -> bool:
        """Return whether a response belongs to a request other than the present one.

        A response without the value belongs to a request without an id, if there was one.
        """
        if echo is None:
            return False
        name, value = echo
        repeated = headers.values(name)
        if not repeated:
            return value != "" and hash((name, "")) in self.hashes
        return any(other != value for other in repeated)
