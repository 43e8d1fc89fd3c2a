"""Wire format of the calls by which the coordinator fulfils its duties towards the platform."""

import attrs
import msgspec

from turmericreach.platform.names import DUTY_HOLDER, FENCE_TOKEN, SCALE_PATH, USAGE_PATH

__all__ = ["SCALE_DUTY", "USAGE_DUTY", "DutyCall", "duty_fields", "size_call", "usage_call"]

# Names of the duties in the settings.
USAGE_DUTY = "usage"
SCALE_DUTY = "scale"


@attrs.frozen
class DutyCall:
    """A call without the fields that name its sender.

    Attributes
    ----------
    path : str
        Path of the request, which is a POST.
    subject : str
        What the fencing tokens of the call apply to.
    body : bytes
        Body of the request.
    """

    path: str
    subject: str
    body: bytes


def usage_call(window: int, counts: dict[str, int]) -> DutyCall:
    """Return the call that reports the requests of each tenant in a window."""
    body = msgspec.json.encode({"window": window, "counts": counts})
    return DutyCall(USAGE_PATH, USAGE_DUTY, body)


def size_call(service: str, data_centre: str, targets: int) -> DutyCall:
    """Return the call that orders a number of targets of a service in a data centre."""
    body = msgspec.json.encode({"service": service, "zone": data_centre, "targetGroups": targets})
    return DutyCall(SCALE_PATH, f"{SCALE_DUTY} {service} {data_centre}", body)


def duty_fields(address: str, holder: str, token: int) -> list[tuple[str, str]]:
    """Return the header fields of a call of the holder of a duty to an address."""
    return [
        ("Host", address),
        ("Content-Type", "application/json"),
        (DUTY_HOLDER, holder),
        (FENCE_TOKEN, str(token)),
    ]
