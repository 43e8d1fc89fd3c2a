"""Cost benchmark: real processes, compared with direct calls to the stand-ins."""
