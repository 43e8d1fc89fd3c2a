"""Authentication of callers by the tenants of the configuration in force."""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable

from turmericreach.http1 import Headers, Request, Responder
from turmericreach.metadata import MetadataClient
from turmericreach.node.configuration import ConfigurationHolder
from turmericreach.node.settings import NodeSettings
from turmericreach.placement import outage_retry_s
from turmericreach.platform.targets import (
    attempt_head,
    challenge_fields,
    credentials,
    retry_after_fields,
    without_identity,
)
from turmericreach.services import Configuration
from turmericreach.telemetry import log_event
from turmericreach.telemetry import node_events as events
from turmericreach.tenancy import (
    ANYONE,
    Caller,
    Contact,
    Reason,
    Rejection,
    RevocationRule,
    authenticate,
)

__all__ = ["CallerAuthentication", "passed_on_caller", "passed_on_fields"]

# Field with the tenant that another process has authenticated. Only the server for calls between
# processes reads it.
PASSED_TENANT = "X-Passed-Tenant"
LOWER_PASSED_TENANT = PASSED_TENANT.lower()
# Callers without a valid key may send any number of requests.
LOG_INTERVAL_S = 1.0


class CallerAuthentication:
    """Finds out who sends a request, and rejects requests that may not be served.

    Parameters
    ----------
    configuration : ConfigurationHolder
        Supplies the tenants in force.
    client : MetadataClient
        Tells when the metadata store last responded.
    copy_age_s : callable
        Returns the seconds since the copy of the configuration was last known to be current.

    Attributes
    ----------
    rule : RevocationRule
        What applies without contact.
    rejected : Counter
        Number of rejected requests by reason.
    """

    def __init__(
        self,
        configuration: ConfigurationHolder,
        client: MetadataClient,
        copy_age_s: Callable[[], float] = lambda: math.inf,
    ):
        self.configuration = configuration
        self.client = client
        self.copy_age_s = copy_age_s
        self.rule = RevocationRule()
        self.rejected: Counter[Reason] = Counter()
        self.next_log_at = -math.inf
        self.unlogged = 0
        self.random = random.Random()

    def configure(self, settings: NodeSettings) -> None:
        """Apply what settings say about keys without contact with the metadata store."""
        self.rule = RevocationRule(settings.fail_closed, settings.timings.revoke_s)

    def contact(self) -> Contact:
        """Return how recent the knowledge of this process is."""
        age_s = self.client.last_response_age_s() if self.client.available.is_set() else math.inf
        return Contact(age_s, self.copy_age_s())

    def is_current(self, configuration: Configuration) -> bool:
        """Return whether a route that a configuration does not have certainly does not exist."""
        if configuration.tenants is None:
            return self.client.responded_recently()
        return self.contact().is_current()

    def identify(
        self, configuration: Configuration, request: Request, public: bool
    ) -> Caller | Rejection:
        """Return who sends a request that arrived at the address for callers, or why not to ask."""
        if configuration.tenants is None:
            return ANYONE
        return authenticate(
            configuration.tenants, credentials(request.headers), public, self.contact(), self.rule
        )

    def admit(
        self, configuration: Configuration, request: Request, responder: Responder, public: bool
    ) -> Caller | None:
        """Return who sends a request; None if it has been rejected."""
        result = self.identify(configuration, request, public)
        if isinstance(result, Caller):
            return result
        self.reject(request, responder, result)
        return None

    def reject(self, request: Request, responder: Responder, rejection: Rejection) -> None:
        """Reject a request that has not run, and log it unless others were logged just now."""
        if rejection.status == 401:
            responder.send(401, challenge_fields())
        else:
            age_s = self.client.last_response_age_s()
            retry_s = outage_retry_s(age_s, self.random.random())
            responder.send(rejection.status, retry_after_fields(retry_s))
        self.rejected[rejection.reason] += 1
        now = asyncio.get_running_loop().time()
        if now < self.next_log_at:
            self.unlogged += 1
            return
        self.next_log_at = now + LOG_INTERVAL_S
        log_event(
            events.KEY_REJECTED,
            request=attempt_head(request.headers).id,
            status=rejection.status,
            reason=rejection.reason,
            unlogged=self.unlogged,
            configuration=self.configuration.version(),
            contact_age_s=round(min(self.contact().age_s(), 1e9), 3),
        )
        self.unlogged = 0


def passed_on_caller(headers: Headers) -> Caller | None:
    """Return the caller that another process has authenticated, None if it knows no tenants."""
    tenant = headers.get(PASSED_TENANT)
    return None if tenant is None else Caller(tenant, checked=True)


def passed_on_fields(headers: Headers, caller: Caller) -> list[tuple[str, str]]:
    """Return the header fields with which a caller's request is forwarded to another process."""
    fields = headers.end_to_end()
    if not caller.checked:
        return fields
    kept = [field for field in without_identity(fields) if field[0].lower() != LOWER_PASSED_TENANT]
    return [*kept, (PASSED_TENANT, caller.tenant)]
