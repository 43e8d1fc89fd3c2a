"""Stand-in of a plain HTTP service."""

from turmericreach_standins.service.app import ServiceSettings, create_service

__all__ = ["ServiceSettings", "create_service"]
