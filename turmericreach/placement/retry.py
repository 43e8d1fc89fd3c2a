"""The time after which a rejected caller may retry."""

__all__ = ["retry_after_s"]

# Long enough for a fully occupied target to complete some requests.
BUSY_RETRY_S = 0.1
# Outages of the metadata store last seconds; callers limit the wait to a third of their remaining
# time.
STORE_UNAVAILABLE_RETRY_S = 2.0
# A process that starts has read its configuration after about this time.
STARTING_RETRY_S = 0.5


def retry_after_s(store_unavailable: bool, starting: bool) -> float:
    """Return the seconds after which a retry may succeed.

    Parameters
    ----------
    store_unavailable : bool
        Whether the request was rejected because the metadata store is unavailable.
    starting : bool
        Whether this process has not read its configuration yet.
    """
    if starting:
        return STARTING_RETRY_S
    if store_unavailable:
        return STORE_UNAVAILABLE_RETRY_S
    return BUSY_RETRY_S
