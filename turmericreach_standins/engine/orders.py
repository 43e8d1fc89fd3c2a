"""Weight versions, adapters and role of an engine, changed by orders."""

import asyncio

from turmericreach_standins.common import RequestError

__all__ = ["ORDERS", "OrderError", "WeightState"]

ORDERS = ("prepare", "activate", "load_adapter", "role")
# An engine has memory for a few versions beside the active one.
KEPT_VERSIONS = 4


class OrderError(RequestError):
    """An order that was refused or failed."""


class WeightState:
    """The active version and what is ready to be activated.

    Parameters
    ----------
    settings : EngineSettings
        Start version, fencing and times.
    faults : Faults
        Source of the swap faults.
    download : callable
        Coroutine function that fetches a version from the weight store.
    """

    def __init__(self, settings, faults, download):
        self.settings = settings
        self.faults = faults
        self.download = download
        self.version = settings.version
        self.prepared = {settings.version}
        self.adapters = []
        self.role = "both"
        self.highest_fencing = 0
        self.swapping = False
        self.swap_lock = asyncio.Lock()
        self.log = []
        # Called before generating stops or goes on, so that the time passed until then counts.
        self.before_change = lambda: None

    def shown(self):
        """Return the JSON form of the state."""
        return {
            "version": self.version,
            "prepared": sorted(self.prepared),
            "adapters": self.adapters,
            "role": self.role,
            "swapping": self.swapping,
            "fencing": self.highest_fencing,
        }

    def check(self, order):
        """Check the fields, the token and the fencing number of an order.

        Raises
        ------
        OrderError
            400 for a malformed order, 403 for a wrong token, 409 for an old fencing number.
        """
        if order.get("order") not in ORDERS:
            raise OrderError(400, "bad_order", f"order must be one of {', '.join(ORDERS)}")
        if self.settings.check_orders is not None and order.get("token") != (
            self.settings.check_orders
        ):
            raise OrderError(403, "bad_token", "the order carries no valid token")
        fencing = order.get("fencing", 0)
        if not isinstance(fencing, int) or isinstance(fencing, bool):
            raise OrderError(400, "bad_order", "fencing must be an integer")
        if self.settings.fencing == "enforce" and fencing < self.highest_fencing:
            raise OrderError(409, "old_fencing", f"fencing is at {self.highest_fencing}")
        self.highest_fencing = max(self.highest_fencing, fencing)

    async def execute(self, order):
        """Check and execute an order."""
        self.check(order)
        name = order["order"]
        self.log.append({key: value for key, value in order.items() if key != "token"})
        if name == "prepare":
            await self.prepare(version_of(order))
        elif name == "activate":
            await self.activate(version_of(order), order.get("fencing", 0))
        elif name == "load_adapter":
            self.load_adapter(text_of(order, "adapter"))
        else:
            self.role = text_of(order, "role")

    async def prepare(self, version):
        """Fetch a version, unless it is already here."""
        if version in self.prepared:
            return
        await self.download(version)
        if self.settings.prepare_s:
            await asyncio.sleep(self.settings.prepare_s)
        self.prepared.add(version)
        while len(self.prepared) > KEPT_VERSIONS:
            self.prepared.remove(min(self.prepared - {self.version}))

    async def activate(self, version, fencing):
        """Swap to a prepared version; a swap to the active version does nothing."""
        async with self.swap_lock:
            # A newer order may have come while this one waited for the swap before it.
            if self.settings.fencing == "enforce" and fencing < self.highest_fencing:
                raise OrderError(409, "old_fencing", f"fencing is at {self.highest_fencing}")
            if version == self.version:
                return
            if version not in self.prepared:
                raise OrderError(409, "not_prepared", f"version {version} is not prepared")
            await self.swap(version)

    async def swap(self, version):
        """Stop generating, and go on with another version."""
        self.before_change()
        self.swapping = True
        try:
            await asyncio.sleep(self.settings.swap_s)
        finally:
            self.before_change()
            self.swapping = False
        if self.faults.take("fail_swaps"):
            raise OrderError(500, "swap_failed", f"the engine stays on version {self.version}")
        wrong = self.faults.take("wrong_swap")
        self.version = wrong_version(self.version, version) if wrong else version
        if wrong:
            self.prepared.add(self.version)

    def load_adapter(self, adapter):
        """Add an adapter."""
        if adapter not in self.adapters:
            self.adapters.append(adapter)


def wrong_version(current, wanted):
    """Return the version that a wrong swap lands on: neither of the two, if possible."""
    return max(0, wanted - 1 if wanted - 1 != current else wanted - 2)


def version_of(order):
    """Return the version of an order."""
    version = order.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise OrderError(400, "bad_order", "version must be an integer of at least 0")
    return version


def text_of(order, name):
    """Return a text field of an order."""
    text = order.get(name)
    if not isinstance(text, str) or not text:
        raise OrderError(400, "bad_order", f"{name} must be a text")
    return text
