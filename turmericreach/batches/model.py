"""Lots, their items and results."""

import attrs

__all__ = ["BatchItem", "BatchSpec", "ItemResult", "Progress", "Scorer"]


@attrs.frozen
class Scorer:
    """The call that scores an item's text.

    Attributes
    ----------
    id : str
        Names the call.
    host, path : str
        Select the route.
    body : bytes
        What is sent.
    """

    id: str
    host: str
    path: str
    body: bytes


@attrs.frozen
class BatchItem:
    """An item of a lot.

    Attributes
    ----------
    id : str
        Names the item; an item of an earlier lot may return under its id.
    path : str
        Request target at an engine.
    fields : list of tuple of str
        Header fields of its request.
    body : bytes
        Body of its request.
    tokens : int
        Prompt tokens and most output tokens together.
    group : str
        Items of a group share their prompt.
    expected_tokens : float
        The caller's estimate of the output.
    scorer : Scorer or None
        The call that scores its text.
    """

    id: str
    path: str
    fields: list[tuple[str, str]]
    body: bytes
    tokens: int
    group: str
    expected_tokens: float
    scorer: Scorer | None


@attrs.frozen
class BatchSpec:
    """A lot as it was submitted.

    Attributes
    ----------
    id : str
        Names the lot.
    host, path : str
        Select its route.
    step : int
        The trainer's step.
    model : str
        Model that generates its items.
    min_version : int
        Oldest version of the weights that may.
    items : tuple of BatchItem
        Its items.
    """

    id: str
    host: str
    path: str
    step: int
    model: str
    min_version: int
    items: tuple[BatchItem, ...]


@attrs.frozen
class ItemResult:
    """A result; it never changes once it is listed.

    Attributes
    ----------
    item : str
        The item.
    completed : bool
        False if the item was given up.
    text : str
        Data of all events, separated by line feeds.
    versions : list of int
        Versions of the weights that generated the text.
    score : str
        What the scorer answered.
    """

    item: str
    completed: bool
    text: str = ""
    versions: list[int] = attrs.field(factory=list)
    score: str = ""


@attrs.define
class Progress:
    """What has been generated of an item.

    Attributes
    ----------
    events : list of str
        Data of the events so far.
    versions : list of int
        Versions of the weights that generated them.
    last_event_id : int or None
        Id of the last event.
    whole : bool
        Whether the text is complete.
    score : str
        What the scorer answered, empty if it has not been asked.
    scorer : str
        Id of the call that gave the score.
    """

    events: list[str] = attrs.field(factory=list)
    versions: list[int] = attrs.field(factory=list)
    last_event_id: int | None = None
    whole: bool = False
    score: str = ""
    scorer: str = ""

    def fits(self, min_version: int, single_version: bool) -> bool:
        """Return whether the text may be used under a lot's bounds."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1

    def add(self, event_id: int | None, data: str, version: int) -> None:
        """Add an event."""
        self.events.append(data)
        self.last_event_id = event_id
        if version not in self.versions:
            self.versions.append(version)

    def clear(self) -> None:
        """Forget the text."""
        self.events.clear()
        self.versions.clear()
        self.last_event_id = None
        self.whole = False
        self.score = ""
        self.scorer = ""
