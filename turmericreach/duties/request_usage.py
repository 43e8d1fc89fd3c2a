"""The count of one caller's request."""

from turmericreach.duties.usage import UsageBook

__all__ = ["RequestUsage"]


class RequestUsage:
    """Counts one request once, in the window in which it began to run.

    Load pattern: a request is rejected by a full target, sent to another one, hedged at a third one
    and answered seconds after the window's end. It is counted when it is sent, so that the count is
    in the report of its window, and withdrawn if the target turns out not to have run it.

    Parameters
    ----------
    book : UsageBook
        Receives the count.
    tenant : str
        Tenant that the request belongs to.
    window_s : float
        Length of a window in seconds.

    Attributes
    ----------
    sent_at : dict of str to float
        True time at which the request was sent, by target; without those that did not run it.
    window : int or None
        Window in which the request is counted.
    """

    def __init__(self, book: UsageBook, tenant: str, window_s: float):
        self.book = book
        self.tenant = tenant
        self.window_s = window_s
        self.sent_at: dict[str, float] = {}
        self.window: int | None = None

    def begin(self, target: str, at: float) -> None:
        """Record that the request was sent to a target, or that its stream has begun there."""
        self.sent_at.setdefault(target, at)
        self.update()

    def withdraw(self, target: str) -> None:
        """Record that a target has not run the request."""
        self.sent_at.pop(target, None)
        self.update()

    def update(self) -> None:
        """Count the request in the window of its earliest remaining begin."""
        window = None
        if self.sent_at:
            window = int(min(self.sent_at.values()) // self.window_s)
        if window == self.window:
            return
        if self.window is not None:
            self.book.withdraw(self.tenant, self.window)
        if window is not None:
            self.book.count(self.tenant, window)
        self.window = window
