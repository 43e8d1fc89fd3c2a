"""The trainer's side of a lot."""

from collections.abc import AsyncIterator
from urllib.parse import quote

from turmericreach.api import (
    AckRequest,
    AnnounceRequest,
    DeclareAnswer,
    LotStatus,
    PullAnswer,
    PullRequest,
)
from turmericreach.client.connection import RETRY_TIMEOUT_S, ApiConnection, ApiError, Backoff
from turmericreach.lots import Cursor, LotSpec, Sample
from turmericreach.verdicts import ErrorCode

__all__ = ["LotRun", "TrainerClient"]

PULL_WAIT_S = 10.0
# Time beyond the wait of a pull for its way to the coordinator and back.
PULL_MARGIN_S = 20.0
LARGE_TIMEOUT_S = 120.0


class LotRun:
    """One lot from declaration to the last sample.

    The cursor is the trainer's record of what it has consumed. A trainer that restarts passes the
    cursor that it saved with its last step, and gets again every sample consumed since then.

    Attributes
    ----------
    cursor : Cursor
        Samples that were yielded so far.
    trainer_version : int
        Weight version of the trainer; raise it when the weights change.
    stated : int
        Highest version stated so far; samples are never asked for under a lower one.
    """

    def __init__(
        self, client: "TrainerClient", spec: LotSpec, trainer_version: int, cursor: Cursor
    ):
        self.client = client
        self.spec = spec
        self.trainer_version = trainer_version
        self.stated = trainer_version
        self.cursor = cursor
        self.whole_groups = False
        self.durable = True

    async def pull(self, max_samples: int = 256, wait_s: float = PULL_WAIT_S) -> list[Sample]:
        """Return further samples and add them to the cursor; empty if none was ready in time.

        An answer that was checked against a version below one stated since is ignored, since its
        samples may be over their bound by now; they are handed out again.

        Raises
        ------
        ApiError
        """
        request = PullRequest(
            self.cursor.encode(), self.state_version(), max_samples, wait_s, self.whole_groups
        )
        answer = await self.client.pull(self.spec, request)
        if answer.trainer_version < self.state_version():
            return []
        # All samples are checked before the first one counts as consumed.
        received = [(self.ordinal_of(sample), sample) for sample in answer.samples]
        samples = []
        for ordinal, sample in received:
            if self.cursor.contains(ordinal):
                continue
            self.cursor = self.cursor.add(ordinal)
            samples.append(sample)
        return samples

    def state_version(self) -> int:
        """Return the version to state, which never goes back."""
        self.stated = max(self.stated, self.trainer_version)
        return self.stated

    def ordinal_of(self, sample: Sample) -> int:
        """Return the position of a sample; raises `ApiError` if the lot does not have it."""
        in_group = 0 <= sample.index < self.spec.samples_per_group
        if in_group and 0 <= sample.group < len(self.spec.groups):
            ordinal = self.spec.ordinal(sample.group, sample.index)
            if sample.id == self.spec.sample_id(ordinal):
                return ordinal
        raise ApiError(f"lot {self.spec.name} has no sample {sample.id}", 200, retryable=False)

    @property
    def done(self) -> bool:
        """Whether every sample was yielded."""
        return self.cursor.count() == self.spec.size

    async def samples(self, max_samples: int = 256) -> AsyncIterator[Sample]:
        """Yield every sample once, in the order in which they finish."""
        while not self.done:
            for sample in await self.pull(max_samples):
                yield sample

    async def acknowledge(self) -> None:
        """Confirm that the effect of the samples in the cursor is saved."""
        await self.client.acknowledge(self.spec, self.cursor)


class TrainerClient:
    """Calls that a trainer makes.

    Parameters
    ----------
    connection : ApiConnection

    Attributes
    ----------
    retry_timeout_s : float
        Seconds for which a pull declares a lot again that stays unknown.
    """

    def __init__(self, connection: ApiConnection):
        self.connection = connection
        self.retry_timeout_s = RETRY_TIMEOUT_S

    async def declare(self, spec: LotSpec) -> DeclareAnswer:
        """Declare a lot; a repetition with the same content changes nothing."""
        return await self.connection.call_repeatedly(
            "POST", "/v1/lots", spec, DeclareAnswer, LARGE_TIMEOUT_S
        )

    async def run(
        self, spec: LotSpec, trainer_version: int, cursor: Cursor | None = None
    ) -> LotRun:
        """Declare a lot and return its run.

        Parameters
        ----------
        cursor : Cursor or None
            Cursor saved with the trainer's last step. Without one, the run goes on from the
            acknowledged cursor, which is empty for a new lot.
        """
        answer = await self.declare(spec)
        if cursor is None:
            cursor = Cursor.decode(answer.cursor, spec.size)
        run = LotRun(self, spec, trainer_version, cursor)
        run.durable = answer.durable
        return run

    async def pull(self, spec: LotSpec, request: PullRequest) -> PullAnswer:
        """Pull samples; declares the lot again if its coordinator was lost with it."""
        path = f"/v1/lots/{spec.name}/pull"
        timeout_s = request.wait_s + PULL_MARGIN_S
        backoff = Backoff(self.retry_timeout_s)
        while True:
            try:
                return await self.connection.call_repeatedly(
                    "POST", path, request, PullAnswer, timeout_s
                )
            except ApiError as error:
                if error.code != ErrorCode.UNKNOWN_LOT or not await backoff.wait():
                    raise
            await self.declare(spec)

    async def acknowledge(self, spec: LotSpec, cursor: Cursor) -> None:
        """Confirm a cursor; best effort, since the trainer's own cursor is what counts."""
        path = f"/v1/lots/{spec.name}/ack"
        try:
            await self.connection.call_repeatedly("POST", path, AckRequest(cursor.encode()))
        except ApiError as error:
            if error.code != ErrorCode.UNKNOWN_LOT:
                raise

    async def cancel(self, lot: str) -> None:
        """End a lot."""
        await self.connection.call_repeatedly("POST", f"/v1/lots/{quote(lot, safe='')}/cancel")

    async def status(self, lot: str) -> LotStatus:
        """Return the state of a lot."""
        path = f"/v1/lots/{quote(lot, safe='')}"
        return await self.connection.call_repeatedly("GET", path, None, LotStatus)

    async def announce(self, model: str, version: int) -> None:
        """Announce weights that were put into the weight store."""
        path = f"/v1/models/{quote(model, safe='')}/version"
        await self.connection.call_repeatedly("PUT", path, AnnounceRequest(version))
