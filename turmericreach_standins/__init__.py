"""Test doubles of outside systems, used by the tests and the demo."""

from turmericreach_standins.common.serving import RunningServer, start_in_process

__all__ = ["RunningServer", "start_in_process"]
