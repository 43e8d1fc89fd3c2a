"""Programs that take the place of outside systems in tests and in the demo."""

from turmericreach_standins.common.serving import RunningServer, start_in_process

__all__ = ["RunningServer", "start_in_process"]
