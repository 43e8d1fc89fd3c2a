"""Stand-in of a network link: forwards TCP connections with a one-way delay."""

from turmericreach_standins.link.link import DelayedLink, LinkSettings, run_link

__all__ = ["DelayedLink", "LinkSettings", "run_link"]
