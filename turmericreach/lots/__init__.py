"""Lots of rollouts: specs, delivery cursors and the decisions of a lot's coordinator."""

from turmericreach.lots.coordinator import LotCoordinator
from turmericreach.lots.cursor import Cursor
from turmericreach.lots.estimates import LengthModel, SpeedModel, VersionForecaster
from turmericreach.lots.samples import (
    Action,
    Cancel,
    EngineState,
    EngineView,
    LotProgress,
    PullResult,
    Regenerate,
    RolloutResult,
    Sample,
    SampleTask,
    Score,
)
from turmericreach.lots.spec import (
    GroupSpec,
    LotLimits,
    LotSpec,
    check_lot,
    chunk_names,
    decode_lot,
    encode_lot,
    is_redeclaration,
    join_lot,
    lot_digest,
    lot_objects,
)

__all__ = [
    "Action",
    "Cancel",
    "Cursor",
    "EngineState",
    "EngineView",
    "GroupSpec",
    "LengthModel",
    "LotCoordinator",
    "LotLimits",
    "LotProgress",
    "LotSpec",
    "PullResult",
    "Regenerate",
    "RolloutResult",
    "Sample",
    "SampleTask",
    "Score",
    "SpeedModel",
    "VersionForecaster",
    "check_lot",
    "chunk_names",
    "decode_lot",
    "encode_lot",
    "is_redeclaration",
    "join_lot",
    "lot_digest",
    "lot_objects",
]
