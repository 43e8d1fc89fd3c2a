"""Cost benchmark: real processes, each compared to calling the stand-in directly."""
