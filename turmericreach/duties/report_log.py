"""Write-ahead log of the usage reports, kept in one object of the metadata store."""

from typing import Any

import attrs

__all__ = ["ReportLog", "ReportTimings"]

# Share of the time until a report is due for which it waits for gateways that do not respond. The
# rest is for the store and the receiver.
WAIT_SHARE = 0.5
# A report that is later than its due time by more than this is given up.
GIVE_UP_S = 30.0
# Pause before a call without confirmation is repeated, doubled with each one up to the maximum.
RETRY_S = 0.3
MAX_RETRY_S = 4.0


@attrs.frozen
class ReportTimings:
    """Times of the reports in seconds.

    Attributes
    ----------
    window_s : float
        Length of a window.
    late_s : float
        Time after the end of a window at which its report is due.
    """

    window_s: float
    late_s: float

    def window_at(self, time: float) -> int:
        """Return the window that contains a true time."""
        return int(time // self.window_s)

    def end(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_s

    def wait_until(self, window: int) -> float:
        """Return the true time until which a report waits for gateways that do not respond."""
        return self.end(window) + WAIT_SHARE * self.late_s

    def is_expired(self, window: int, time: float) -> bool:
        """Return whether a window is too old to be reported."""
        return time > self.end(window) + self.late_s + GIVE_UP_S

    def first_kept(self, time: float) -> int:
        """Return the oldest window that may still be reported."""
        return self.window_at(time - self.late_s - GIVE_UP_S)


@attrs.define
class Delivery:
    """Progress of the calls for one stored report."""

    calls: int = 0
    next_at: float = 0.0
    confirmed: bool = False


class ReportLog:
    """Decides which window is stored next and which stored report is sent next.

    Counts are sent only as the store holds them. Each write is conditional on the revision that
    was read, and adds one window behind the last one, so that all holders together store each
    window once: a holder whose write fails reads what the other one has stored and sends that.

    Load pattern: the holder is frozen or cut off between two of these steps, another one reports
    meanwhile, calls and writes are lost, late or executed twice.

    Attributes
    ----------
    timings : ReportTimings
        Times of the reports.
    loaded : bool
        Whether the stored object is known; after a write without outcome it is not.
    revision : int or None
        Revision of the object, None if there is none.
    last : int or None
        Last window that was stored, None if none ever was.
    reports : dict of int to dict of str to int
        Stored counts by window.
    deliveries : dict of int to Delivery
        Progress of the calls by window.
    """

    def __init__(self, timings: ReportTimings):
        self.timings = timings
        self.loaded = False
        self.revision: int | None = None
        self.last: int | None = None
        self.reports: dict[int, dict[str, int]] = {}
        self.deliveries: dict[int, Delivery] = {}

    def load(self, spec: Any, revision: int | None) -> None:
        """Adopt the stored object, or that there is none (`revision` None).

        Raises
        ------
        ValueError
            If the object does not have the expected form.
        """
        last, reports = None, {}
        if revision is not None:
            last, reports = read_spec(spec)
        self.loaded = True
        self.revision = revision
        self.last = last
        self.reports = reports
        self.deliveries = {window: self.deliveries.get(window, Delivery()) for window in reports}

    def next_window(self, began: float, time: float) -> int | None:
        """Return the next window to store if it has ended, else None.

        Without a stored one it is the window in which the first gateway began to count: no request
        can have run before. Windows that are too old are left out.

        Parameters
        ----------
        began : float
            True time at which the first known gateway began to count.
        time : float
            True time.
        """
        if not self.loaded:
            return None
        window = self.timings.window_at(began) if self.last is None else self.last + 1
        window = max(window, self.timings.first_kept(time))
        return window if self.timings.end(window) <= time else None

    def spec_with(
        self, window: int, counts: dict[str, int], holder: str, time: float
    ) -> dict[str, Any]:
        """Return the object to store, with a new window and the reports to be sent still."""
        kept = {}
        for old, stored in self.reports.items():
            if not self.deliveries[old].confirmed and not self.timings.is_expired(old, time):
                kept[str(old)] = stored
        return {"holder": holder, "last": window, "reports": {**kept, str(window): counts}}

    def next_report(self, time: float) -> int | None:
        """Return the oldest stored window whose report may be sent now, None if there is none."""
        for window in sorted(self.reports):
            delivery = self.deliveries[window]
            if delivery.confirmed or delivery.next_at > time:
                continue
            if not self.timings.is_expired(window, time):
                return window
        return None

    def expire(self, time: float) -> list[int]:
        """Remove the reports that are too old and return those that were not confirmed."""
        given_up = []
        for window in sorted(self.reports):
            if not self.timings.is_expired(window, time):
                continue
            if not self.deliveries[window].confirmed:
                given_up.append(window)
            del self.reports[window], self.deliveries[window]
        return given_up

    def record_call(self, window: int, time: float, confirmed: bool) -> None:
        """Record the result of a call, which is repeated unchanged unless it was confirmed."""
        delivery = self.deliveries.setdefault(window, Delivery())
        delivery.calls += 1
        delivery.confirmed = delivery.confirmed or confirmed
        delivery.next_at = time + min(RETRY_S * 2 ** (delivery.calls - 1), MAX_RETRY_S)

    def pending(self) -> list[int]:
        """Return the stored windows whose reports are not confirmed, the oldest first."""
        return sorted(w for w in self.reports if not self.deliveries[w].confirmed)


def read_spec(spec: Any) -> tuple[int, dict[int, dict[str, int]]]:
    """Return the last window and the reports of a stored object.

    Raises
    ------
    ValueError
        If the object does not have the expected form.
    """
    try:
        reports = {int(window): dict(counts) for window, counts in spec["reports"].items()}
        return int(spec["last"]), reports
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"no usage reports: {error!r}") from error
