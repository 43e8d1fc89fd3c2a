"""Whether this process controls overload."""

from turmericreach.node.settings import NodeSettings
from turmericreach.placement import (
    DEFAULT_POLICY,
    OVERLOAD_POLICY,
    POLICIES,
    PlacementPolicy,
    SwitchedPolicy,
)
from turmericreach.services import TargetDirectory

__all__ = ["OverloadSwitch"]


class OverloadSwitch:
    """Tells whether a deployment calls for the control of overload.

    The settings say so where callers compete for too little capacity. Where targets share their
    hosts with other work, they say so themselves: their load fields state how much slower work is.
    The first response of such a target switches the control on.
    """

    def __init__(self, settings: NodeSettings, directory: TargetDirectory):
        self.settings = settings
        self.directory = directory

    def is_on(self) -> bool:
        """Return whether overload is controlled."""
        return self.settings.overload_control or self.directory.has_shared_hosts is True

    def may_be_on(self) -> bool:
        """Return whether overload is controlled, or whether that is not known yet."""
        return self.is_on() or self.directory.has_shared_hosts is None

    def make_policy(self) -> PlacementPolicy:
        """Return a new placement policy: the one that the settings name, or one for the load."""
        if self.settings.placement:
            return POLICIES[self.settings.placement]()
        return SwitchedPolicy(POLICIES[DEFAULT_POLICY](), POLICIES[OVERLOAD_POLICY](), self.is_on)
