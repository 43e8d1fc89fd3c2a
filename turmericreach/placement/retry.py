"""When a caller that was refused may come again."""

__all__ = ["retry_after_s"]

# Long enough for a full target to finish some requests.
BUSY_RETRY_S = 0.1
# The store's outages last seconds; callers cap the wait at a third of the time they have left.
STORE_AWAY_RETRY_S = 2.0
# A process that starts knows its configuration within about this time.
STARTING_RETRY_S = 0.5


def retry_after_s(store_away: bool, starting: bool) -> float:
    """Return the time after which a new attempt may succeed, in seconds."""
    if starting:
        return STARTING_RETRY_S
    if store_away:
        return STORE_AWAY_RETRY_S
    return BUSY_RETRY_S
