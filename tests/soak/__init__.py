"""A randomized fault soak that checks the guarantees of real processes under injected faults."""
