"""Builders of targets in the state of a process."""

from turmericreach.services import Target, TargetRecord

__all__ = ["plain_target"]


def plain_target(name, data_centre="a", slots=6, **fields):
    """Return a target of a plain service; `fields` set attributes of its state."""
    record = TargetRecord(name, 0, "portal", f"10.0.0.1:{len(name)}", data_centre, slots, False)
    made = Target(record)
    for key, value in fields.items():
        setattr(made, key, value)
    return made
