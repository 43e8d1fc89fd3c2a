"""Downloads of weight versions from the weight store."""

from blacksheep.client import ClientSession

from turmericreach_standins.engine.orders import OrderError

__all__ = ["create_downloader"]


def create_downloader(settings):
    """Return a coroutine function that downloads a version.

    It does nothing if the settings name no weight store.
    """

    async def download(version):
        if settings.weight_store is None:
            return
        url = f"{settings.weight_store}/weights/{settings.model}/{version}"
        response = await fetch(url)
        if response.status == 429:
            retry_after = response.get_first_header(b"retry-after") or b"1"
            message = "the weight store is at its rate limit"
            raise OrderError(429, "weight_store_limited", message, float(retry_after))
        if response.status == 404:
            raise OrderError(409, "unknown_version", f"no version {version} in the weight store")
        if response.status != 200:
            raise OrderError(
                502, "weight_store_failed", f"the weight store returned status {response.status}"
            )

    return download


async def fetch(url):
    """Send one GET request without retries, redirects and cookies, and return the response."""
    session = ClientSession(max_connection_retries=0, follow_redirects=False, cookie_jar=False)
    async with session:
        try:
            response = await session.get(url)
            await response.read()
        except Exception as error:  # the client raises many types; with each the download failed
            raise OrderError(502, "weight_store_failed", repr(error)) from error
        return response
