"""The client for trainers."""

from collections.abc import AsyncIterator
from urllib.parse import quote

from turmericreach.api import (
    AckRequest,
    AnnounceRequest,
    DeclareResponse,
    LotStatus,
    PullRequest,
    PullResponse,
)
from turmericreach.client.connection import RETRY_TIMEOUT_S, ApiConnection, ApiError, Backoff
from turmericreach.lots import Cursor, LotSpec, Sample
from turmericreach.verdicts import ErrorCode

__all__ = ["LotRun", "TrainerClient"]

PULL_WAIT_S = 10.0
# Time for sending a pull to the coordinator and its response back, in addition to its wait.
PULL_MARGIN_S = 20.0
LARGE_TIMEOUT_S = 120.0


class LotRun:
    """Receives the samples of one lot, from its declaration to the last sample.

    The cursor records which samples the trainer has consumed. A trainer that restarts passes the
    cursor that it saved with its last step, and receives every sample again that it consumed since
    then.

    Attributes
    ----------
    cursor : Cursor
        Samples that were returned so far.
    trainer_version : int
        Weight version of the trainer, which it sets to a higher number when its weights change.
    highest_stated_version : int
        Highest version that any pull has stated; later pulls never state a lower one.
    whole_groups : bool
        Whether the samples of a group are returned only after all of them are finished.
    durable : bool
        Whether the lot was stored in the platform when it was declared.
    """

    def __init__(
        self, client: "TrainerClient", spec: LotSpec, trainer_version: int, cursor: Cursor
    ):
        self.client = client
        self.spec = spec
        self.trainer_version = trainer_version
        self.highest_stated_version = trainer_version
        self.cursor = cursor
        self.whole_groups = False
        self.durable = True

    async def pull(self, max_samples: int = 256, wait_s: float = PULL_WAIT_S) -> list[Sample]:
        """Return further samples and add them to the cursor; empty if none was ready in time.

        A response is ignored if the staleness of its samples was checked against a lower version
        than the trainer has by now: the samples may exceed the limit. They are returned again by a
        later pull unless they are stale.

        Parameters
        ----------
        max_samples : int
            Largest number of samples.
        wait_s : float
            Longest time in seconds to wait while no sample is ready.

        Raises
        ------
        ApiError
            If the call failed, or the response contains a sample that the lot does not have.
        """
        request = PullRequest(
            self.cursor.encode(),
            self.update_stated_version(),
            max_samples,
            wait_s,
            self.whole_groups,
        )
        response = await self.client.pull(self.spec, request)
        if response.trainer_version < self.update_stated_version():
            return []
        # All samples are validated before any of them is added to the cursor.
        received = [(self.ordinal_of(sample), sample) for sample in response.samples]
        samples = []
        for ordinal, sample in received:
            if self.cursor.contains(ordinal):
                continue
            self.cursor = self.cursor.add(ordinal)
            samples.append(sample)
        return samples

    def update_stated_version(self) -> int:
        """Return the version to state in a pull, which never decreases."""
        self.highest_stated_version = max(self.highest_stated_version, self.trainer_version)
        return self.highest_stated_version

    def ordinal_of(self, sample: Sample) -> int:
        """Return the ordinal of a sample; raise `ApiError` if the lot does not have it."""
        in_group = 0 <= sample.index < self.spec.samples_per_group
        if in_group and 0 <= sample.group < len(self.spec.groups):
            ordinal = self.spec.ordinal(sample.group, sample.index)
            if sample.id == self.spec.sample_id(ordinal):
                return ordinal
        raise ApiError(f"lot {self.spec.name} has no sample {sample.id}", 200, retryable=False)

    @property
    def done(self) -> bool:
        """Whether every sample was returned."""
        return self.cursor.count() == self.spec.size

    async def samples(self, max_samples: int = 256) -> AsyncIterator[Sample]:
        """Yield every remaining sample once, in the order in which they finish."""
        while not self.done:
            for sample in await self.pull(max_samples):
                yield sample

    async def acknowledge(self) -> None:
        """Confirm that the trainer has saved the effect of the samples in the cursor."""
        await self.client.acknowledge(self.spec, self.cursor)


class TrainerClient:
    """Declares, pulls and acknowledges lots, and announces weights.

    Parameters
    ----------
    connection : ApiConnection
        Open connection to the gateways.

    Attributes
    ----------
    retry_timeout_s : float
        Seconds for which a pull keeps declaring its lot again while the gateways do not know it.
    """

    def __init__(self, connection: ApiConnection):
        self.connection = connection
        self.retry_timeout_s = RETRY_TIMEOUT_S

    async def declare(self, spec: LotSpec) -> DeclareResponse:
        """Declare a lot; declaring it again with the same content has no effect."""
        return await self.connection.call_with_retries(
            "POST", "/v1/lots", spec, DeclareResponse, LARGE_TIMEOUT_S
        )

    async def run(
        self, spec: LotSpec, trainer_version: int, cursor: Cursor | None = None
    ) -> LotRun:
        """Declare a lot and return the object that receives its samples.

        Parameters
        ----------
        spec : LotSpec
            The lot.
        trainer_version : int
            Current weight version of the trainer.
        cursor : Cursor or None
            Cursor saved with the trainer's last step. Without one, the run continues from the
            acknowledged cursor, which is empty for a new lot.
        """
        response = await self.declare(spec)
        if cursor is None:
            cursor = Cursor.decode(response.cursor, spec.size)
        run = LotRun(self, spec, trainer_version, cursor)
        run.durable = response.durable
        return run

    async def pull(self, spec: LotSpec, request: PullRequest) -> PullResponse:
        """Pull samples; declare the lot again if it was lost with its coordinator."""
        path = f"/v1/lots/{spec.name}/pull"
        timeout_s = request.wait_s + PULL_MARGIN_S
        backoff = Backoff(self.retry_timeout_s)
        while True:
            try:
                return await self.connection.call_with_retries(
                    "POST", path, request, PullResponse, timeout_s
                )
            except ApiError as error:
                if error.code != ErrorCode.UNKNOWN_LOT or not await backoff.wait():
                    raise
            await self.declare(spec)

    async def acknowledge(self, spec: LotSpec, cursor: Cursor) -> None:
        """Acknowledge a cursor.

        An unknown lot is ignored, since the cursor that the trainer saves itself is decisive.
        """
        path = f"/v1/lots/{spec.name}/ack"
        try:
            await self.connection.call_with_retries("POST", path, AckRequest(cursor.encode()))
        except ApiError as error:
            if error.code != ErrorCode.UNKNOWN_LOT:
                raise

    async def cancel(self, lot: str) -> None:
        """Cancel a lot."""
        await self.connection.call_with_retries("POST", f"/v1/lots/{quote(lot, safe='')}/cancel")

    async def status(self, lot: str) -> LotStatus:
        """Return the state of a lot."""
        path = f"/v1/lots/{quote(lot, safe='')}"
        return await self.connection.call_with_retries("GET", path, None, LotStatus)

    async def announce(self, model: str, version: int) -> None:
        """Announce that a version of a model's weights is in the weight store."""
        path = f"/v1/models/{quote(model, safe='')}/version"
        await self.connection.call_with_retries("PUT", path, AnnounceRequest(version))
