"""Stand-in of a network link: TCP forwarding with a delay in each direction."""

from turmericreach_standins.link.link import DelayedLink, LinkSettings, run_link

__all__ = ["DelayedLink", "LinkSettings", "run_link"]
