"""Service that routes requests to back ends and runs rollouts for reinforcement learning."""

__all__ = ["__version__"]

__version__ = "0.1.0"
