"""Stand-in of the rate-limited weight store."""

from turmericreach_standins.weightstore.app import WeightStoreSettings, create_weightstore

__all__ = ["WeightStoreSettings", "create_weightstore"]
