"""HTTP interface of the weight store stand-in."""

import asyncio

import attrs
from blacksheep import Content, Response

from turmericreach_standins.common import (
    Faults,
    RequestError,
    StandIn,
    TokenBucket,
    add_route,
    json_response,
    new_application,
)

__all__ = ["WeightStoreSettings", "create_weightstore"]

FAULTS = ("slow_ms", "down")
MAX_BLOB_BYTES = 1024 * 1024
MAX_RECORDED_DOWNLOADS = 100_000


@attrs.define
class WeightStoreSettings:
    """Options of the weight store stand-in.

    Parameters
    ----------
    rate_per_s : float
        Downloads admitted a second; 0 means no limit.
    burst : float
        Downloads that may follow one another without a pause.
    """

    rate_per_s: float = 20.0
    burst: float = 20.0


class WeightStoreApi:
    """Handlers of the weight store; only downloads count towards the rate limit.

    Attributes
    ----------
    blobs : dict of str to dict of int to bytes
        Stored weights by model and version.
    downloads : list of dict
        Model, version and instant in seconds of each download, for the record.
    refused : int
        Downloads rejected by the rate limit.
    """

    def __init__(self, settings):
        self.bucket = TokenBucket(settings.rate_per_s, settings.burst)
        self.faults = Faults(FAULTS)
        self.blobs = {}
        self.downloads = []
        self.refused = 0

    async def apply_faults(self):
        """Reject or delay a call if the faults ``down`` or ``slow_ms`` are set."""
        if self.faults.get("down"):
            raise RequestError(503, "down", "the weight store is down")
        if self.faults.get("slow_ms"):
            await asyncio.sleep(self.faults.get("slow_ms") / 1000)

    async def put(self, request):
        """Handle ``PUT /weights/{model}/{version}``."""
        await self.apply_faults()
        blob = await request.read() or b""
        if len(blob) > MAX_BLOB_BYTES:
            raise RequestError(413, "too_large", f"a version has at most {MAX_BLOB_BYTES} bytes")
        model, version = model_and_version(request)
        versions = self.blobs.setdefault(model, {})
        status = 200 if version in versions else 201
        versions[version] = blob
        return json_response({"versions": sorted(versions)}, status)

    async def get(self, request):
        """Handle ``GET /weights/{model}/{version}``."""
        await self.apply_faults()
        now = asyncio.get_running_loop().time()
        wait_s = self.bucket.try_acquire(now)
        if wait_s:
            self.refused += 1
            raise RequestError(429, "rate_limited", "too many downloads", wait_s)
        model, version = model_and_version(request)
        blob = self.blobs.get(model, {}).get(version)
        if blob is None:
            raise RequestError(404, "unknown_version", f"{model} has no version {version}")
        if len(self.downloads) < MAX_RECORDED_DOWNLOADS:
            self.downloads.append({"model": model, "version": version, "at": now})
        return Response(200, None, Content(b"application/octet-stream", blob))

    async def list(self, request):
        """Handle ``GET /weights/{model}``."""
        await self.apply_faults()
        return json_response(
            {"versions": sorted(self.blobs.get(request.route_values["model"], {}))}
        )

    def record(self):
        """Return the downloads and the number of rejected ones."""
        return {"downloads": self.downloads, "refused": self.refused}


def model_and_version(request):
    """Return the model and the version in the path; raise a `RequestError` (400) if not valid."""
    version = request.route_values["version"]
    if not version.isdecimal():
        raise RequestError(400, "bad_version", "the version must be a decimal number")
    return request.route_values["model"], int(version)


def create_weightstore(settings=None):
    """Return the weight store stand-in."""
    api = WeightStoreApi(settings or WeightStoreSettings())
    application = new_application(api.faults, api.record)
    add_route(application, "PUT", "/weights/{model}/{version}", api.put)
    add_route(application, "GET", "/weights/{model}/{version}", api.get)
    add_route(application, "GET", "/weights/{model}", api.list)
    return StandIn(application)
