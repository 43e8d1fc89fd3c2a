"""Coordination of processes: liveness, election of the coordinator, and their messages."""
