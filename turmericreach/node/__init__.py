"""The programs that run on the hosts of the platform."""
