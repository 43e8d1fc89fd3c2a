"""A randomized fault soak: real programs as processes, faults from outside, promises checked."""
