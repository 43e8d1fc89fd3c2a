"""Attrs fields with limits in their metadata, for the validation and for JSON Schema."""

from typing import Any

import attrs

__all__ = ["LIMIT_KEYWORDS", "bounded"]

# JSON Schema keywords that a field's metadata may hold.
LIMIT_KEYWORDS = ("minimum", "exclusiveMinimum", "maximum", "pattern")


def bounded(
    default: Any = attrs.NOTHING,
    *,
    minimum: float | None = None,
    above: float | None = None,
    maximum: float | None = None,
    pattern: str | None = None,
) -> Any:
    """Return an attrs field with limits.

    Parameters
    ----------
    default : object, optional
        Default value; without one the field is required.
    minimum, maximum : float, optional
        Smallest and largest valid number.
    above : float, optional
        Exclusive lower limit of the number.
    pattern : str, optional
        Regular expression that the whole text must match.
    """
    values = zip(LIMIT_KEYWORDS, (minimum, above, maximum, pattern), strict=True)
    return attrs.field(default=default, metadata={k: v for k, v in values if v is not None})
