"""Data classes of lots, items, and results."""

import attrs

__all__ = ["BatchItem", "BatchSpec", "ItemResult", "Progress", "Scorer"]


@attrs.frozen
class Scorer:
    """The request that scores the text of an item.

    Attributes
    ----------
    id : str
        Unique id of the request.
    host, path : str
        Host and path, which select the route of the scorer.
    body : bytes
        Request body.
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
        Unique id; a later lot may contain the same item again under this id.
    path : str
        Request target (path) at an engine.
    fields : list of tuple of str
        Header fields of the request as pairs of name and value.
    body : bytes
        Body of the request.
    tokens : int
        Number of prompt tokens plus the maximum number of output tokens.
    group : str
        Id of the item's group; the items of a group share their prompt.
    expected_tokens : float
        Number of output tokens that the caller expects.
    scorer : Scorer or None
        Request that scores the text, None if the text is not scored.
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
    """A lot as submitted.

    Attributes
    ----------
    id : str
        Unique id.
    host, path : str
        Host and path of the submission, which select the route.
    step : int
        Training step of the trainer.
    model : str
        Model that generates the text of the items.
    min_version : int
        Oldest version of the weights that may generate text.
    items : tuple of BatchItem
        Items in the order of the submission.
    target_groups : int
        Number of complete groups for which the trainer waits, 0 if it waits for all.
    tenant : str
        Tenant that submitted the lot, empty without tenants.
    """

    id: str
    host: str
    path: str
    step: int
    model: str
    min_version: int
    items: tuple[BatchItem, ...]
    target_groups: int = 0
    tenant: str = ""


@attrs.frozen
class ItemResult:
    """Result of an item; it is immutable once it is listed.

    Attributes
    ----------
    item : str
        Id of the item.
    completed : bool
        Whether the text is complete; False if the item was abandoned.
    text : str
        Data of all events, separated by line feeds.
    versions : list of int
        Distinct versions of the weights that generated the text, in order of first use.
    score : str
        Stamp of the scorer's response, empty if the text was not scored.
    """

    item: str
    completed: bool
    text: str = ""
    versions: list[int] = attrs.field(factory=list)
    score: str = ""


@attrs.define
class Progress:
    """Text of an item generated so far.

    Attributes
    ----------
    events : list of str
        Data of each event so far.
    versions : list of int
        Distinct versions of the weights that generated the events, in order of first use.
    last_event_id : int or None
        Id of the last event, None if there is none.
    whole : bool
        Whether the text is complete.
    score : str
        Stamp of the scorer's response, empty if there is none yet.
    scorer : str
        Id of the request that returned the score.
    software : str
        Software of the targets that generated the events, empty if there are none.
    """

    events: list[str] = attrs.field(factory=list)
    versions: list[int] = attrs.field(factory=list)
    last_event_id: int | None = None
    whole: bool = False
    score: str = ""
    scorer: str = ""
    software: str = ""

    def allowed_by(self, min_version: int, single_version: bool) -> bool:
        """Return whether a lot with these constraints on versions may use the text.

        Text that names no software, as an earlier build handed it over, may hold events of several
        software versions and is not used.
        """
        if self.events and not self.software:
            return False
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1

    def add(self, event_id: int | None, data: str, version: int, software: str) -> None:
        """Append an event that a version of the weights generated at a target."""
        self.events.append(data)
        self.last_event_id = event_id
        self.software = software
        if version not in self.versions:
            self.versions.append(version)

    def clear(self) -> None:
        """Discard the text, its versions, and its score."""
        self.events.clear()
        self.versions.clear()
        self.last_event_id = None
        self.whole = False
        self.score = ""
        self.scorer = ""
        self.software = ""
