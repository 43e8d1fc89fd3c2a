"""Weight versions, adapters and role of an engine, and the orders that change them."""

import asyncio

from turmericreach_standins.common import RequestError

__all__ = ["ORDER_NAMES", "OrderError", "WeightState"]

ORDER_NAMES = ("prepare", "activate", "load_adapter", "role")
# Including the active version; an engine has memory for a few versions only.
MAX_PREPARED_VERSIONS = 4


class OrderError(RequestError):
    """An order that was rejected or failed."""


class WeightState:
    """The active weight version, the prepared versions, the adapters and the role.

    Parameters
    ----------
    settings : EngineSettings
        Initial version, order checks, and durations of preparation and swap.
    faults : Faults
        Provides the faults ``fail_swaps`` and ``wrong_swap``.
    download : callable
        Coroutine function that downloads a version from the weight store.

    Attributes
    ----------
    highest_fencing_token : int
        Highest fencing token of the orders that passed the checks.
    swapping : bool
        Whether a swap is in progress; nothing is generated meanwhile.
    accepted_orders : list of dict
        Orders that passed the checks, without their tokens.
    before_change : callable
        Called before the generation stops or resumes, so that the time up to then is
        simulated at the former state.
    """

    def __init__(self, settings, faults, download):
        self.settings = settings
        self.faults = faults
        self.download = download
        self.version = settings.version
        self.prepared = {settings.version}
        self.adapters = []
        self.role = "both"
        self.highest_fencing_token = 0
        self.swapping = False
        self.swap_lock = asyncio.Lock()
        self.accepted_orders = []
        self.before_change = lambda: None

    def state_body(self):
        """Return the state as a JSON body."""
        return {
            "version": self.version,
            "prepared": sorted(self.prepared),
            "adapters": self.adapters,
            "role": self.role,
            "swapping": self.swapping,
            "fencing": self.highest_fencing_token,
        }

    def check_order(self, order):
        """Check the name, the access token and the fencing token of an order.

        Raises
        ------
        OrderError
            400 for a malformed order, 403 for a wrong access token, 409 for an outdated
            fencing token.
        """
        if order.get("order") not in ORDER_NAMES:
            raise OrderError(400, "bad_order", f"order must be one of {', '.join(ORDER_NAMES)}")
        if self.settings.check_orders is not None and order.get("token") != (
            self.settings.check_orders
        ):
            raise OrderError(403, "bad_token", "the order carries no valid token")
        fencing = order.get("fencing", 0)
        if not isinstance(fencing, int) or isinstance(fencing, bool):
            raise OrderError(400, "bad_order", "fencing must be an integer")
        if self.settings.fencing == "enforce" and fencing < self.highest_fencing_token:
            raise OrderError(409, "old_fencing", f"fencing is at {self.highest_fencing_token}")
        self.highest_fencing_token = max(self.highest_fencing_token, fencing)

    async def execute(self, order):
        """Check and execute an order."""
        self.check_order(order)
        name = order["order"]
        self.accepted_orders.append({key: value for key, value in order.items() if key != "token"})
        if name == "prepare":
            await self.prepare(version_of(order))
        elif name == "activate":
            await self.activate(version_of(order), order.get("fencing", 0))
        elif name == "load_adapter":
            self.load_adapter(text_of(order, "adapter"))
        else:
            self.role = text_of(order, "role")

    async def prepare(self, version):
        """Download a version unless it is prepared; evict the oldest versions beyond the limit."""
        if version in self.prepared:
            return
        await self.download(version)
        if self.settings.prepare_s:
            await asyncio.sleep(self.settings.prepare_s)
        self.prepared.add(version)
        while len(self.prepared) > MAX_PREPARED_VERSIONS:
            self.prepared.remove(min(self.prepared - {self.version}))

    async def activate(self, version, fencing):
        """Swap to a prepared version; does nothing if it is active already."""
        async with self.swap_lock:
            # A newer order may have arrived while this one waited for an earlier swap to end.
            if self.settings.fencing == "enforce" and fencing < self.highest_fencing_token:
                raise OrderError(409, "old_fencing", f"fencing is at {self.highest_fencing_token}")
            if version == self.version:
                return
            if version not in self.prepared:
                raise OrderError(409, "not_prepared", f"version {version} is not prepared")
            await self.swap(version)

    async def swap(self, version):
        """Stop generating for the duration of the swap, then resume with another version."""
        self.before_change()
        self.swapping = True
        try:
            await asyncio.sleep(self.settings.swap_s)
        finally:
            self.before_change()
            self.swapping = False
        if self.faults.consume("fail_swaps"):
            raise OrderError(500, "swap_failed", f"the engine stays on version {self.version}")
        wrong = self.faults.consume("wrong_swap")
        self.version = wrong_version(self.version, version) if wrong else version
        if wrong:
            self.prepared.add(self.version)

    def load_adapter(self, adapter):
        """Add an adapter, unless it is loaded already."""
        if adapter not in self.adapters:
            self.adapters.append(adapter)


def wrong_version(current, wanted):
    """Return the version that a wrong swap activates: neither of the two, if possible."""
    return max(0, wanted - 1 if wanted - 1 != current else wanted - 2)


def version_of(order):
    """Return the version of an order; raise an `OrderError` (400) if it is not valid."""
    version = order.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 0:
        raise OrderError(400, "bad_order", "version must be an integer of at least 0")
    return version


def text_of(order, name):
    """Return a text field of an order; raise an `OrderError` (400) if it is not valid."""
    text = order.get(name)
    if not isinstance(text, str) or not text:
        raise OrderError(400, "bad_order", f"{name} must be a non-empty string")
    return text
