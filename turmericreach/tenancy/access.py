"""Decision whether a caller may be served, by its API key and the age of the configuration."""

import enum
import math

import attrs

from turmericreach.tenancy.table import TenantTable

__all__ = [
    "ANYONE",
    "Caller",
    "Contact",
    "Reason",
    "Rejection",
    "RevocationRule",
    "authenticate",
]

SCHEME = "bearer"
# A configuration is in force everywhere within this time after it is stored.
CURRENT_S = 3.0
# A watch that reports no change is answered after 4 s at the latest; one that is not answered for
# longer may have missed a change, although the store responds to other calls.
MAX_WATCH_S = 5.0


class Reason(enum.StrEnum):
    """Why a request is rejected; a label of metrics.

    Attributes
    ----------
    NO_KEY
        The request carries no key, or several.
    UNKNOWN_KEY
        No tenant has the key in a configuration that is current.
    OUTDATED
        No tenant has the key in a configuration that may be outdated.
    CUT_OFF
        The process has had no contact for so long that it must not trust the keys that it knows.
    """

    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    OUTDATED = "configuration outdated"
    CUT_OFF = "cut off"


@attrs.frozen
class Caller:
    """Who sends a request.

    Attributes
    ----------
    tenant : str
        Name of the tenant, empty without tenants or on a public route without a known key.
    checked : bool
        Whether tenants are configured. If not, everything is served to everyone.
    priority : int or None
        Priority of the tenant, which takes precedence over that of the route.
    current : bool
        Whether the configuration that named the tenant is known to be current.
    """

    tenant: str = ""
    checked: bool = False
    priority: int | None = None
    current: bool = True

    def may_use(self, tenant: str) -> bool:
        """Return whether a lot of a tenant is open; one without a tenant is open to everyone."""
        return not self.checked or tenant in ("", self.tenant)


ANYONE = Caller()


@attrs.frozen
class Rejection:
    """Rejection of a request that has not run.

    Attributes
    ----------
    status : int
        Status of the response: 401, or 503 if the request may be served later or elsewhere.
    reason : Reason
        Why it is rejected.
    """

    status: int
    reason: Reason


@attrs.frozen
class Contact:
    """How recent the knowledge of a process is.

    Attributes
    ----------
    response_age_s : float
        Seconds since the last response of the metadata store, infinite while it is unavailable.
    copy_age_s : float
        Seconds since the copy of the configuration was last known to be current, from the store
        or the coordinator.
    """

    response_age_s: float = math.inf
    copy_age_s: float = math.inf

    def age_s(self) -> float:
        """Return the seconds since the last contact with the store or the coordinator."""
        return min(self.response_age_s, self.copy_age_s)

    def is_current(self) -> bool:
        """Return whether the configuration in force is known to be current."""
        return self.age_s() < CURRENT_S and self.copy_age_s < MAX_WATCH_S


@attrs.frozen
class RevocationRule:
    """What a process without contact does with the keys that it knows.

    Attributes
    ----------
    fail_closed : bool
        Whether it rejects all requests with a key, since the key may have been removed.
    after_s : float
        Seconds without contact after which it does so.
    """

    fail_closed: bool = False
    after_s: float = 5.0

    def rejects(self, contact: Contact) -> bool:
        """Return whether no key is trusted any more."""
        if not self.fail_closed:
            return False
        overdue = contact.copy_age_s >= self.after_s + MAX_WATCH_S
        return overdue or contact.age_s() >= self.after_s


def authenticate(
    table: TenantTable | None,
    credentials: list[str],
    public: bool,
    contact: Contact,
    rule: RevocationRule,
) -> Caller | Rejection:
    """Decide who sends a request, or reject it.

    Load pattern: keys are added, removed and moved by new versions of the configuration while some
    processes are cut off from the store. A key that this process does not know may have been added
    since, so the rejection says that it is final only if the configuration is current.

    Parameters
    ----------
    table : TenantTable or None
        Tenants of the configuration in force, None if it has none.
    credentials : list of str
        Values of the request's credential fields.
    public : bool
        Whether the request needs no key.
    contact : Contact
        How recent the configuration is.
    rule : RevocationRule
        What applies without contact.
    """
    if table is None:
        return ANYONE
    key = read_key(credentials)
    current = contact.is_current()
    rejects = rule.rejects(contact)
    tenant = None if key is None or rejects else table.find(key)
    if tenant is not None:
        return Caller(tenant.name, True, tenant.priority, current)
    if public:
        return Caller(checked=True, current=current)
    if rejects:
        return Rejection(503, Reason.CUT_OFF)
    if not current:
        return Rejection(503, Reason.OUTDATED)
    return Rejection(401, Reason.NO_KEY if key is None else Reason.UNKNOWN_KEY)


def read_key(credentials: list[str]) -> str | None:
    """Return the key that credentials carry, or None if there is not exactly one."""
    if len(credentials) != 1:
        return None
    scheme, _, key = credentials[0].strip().partition(" ")
    return key.strip() or None if scheme.lower() == SCHEME else None
