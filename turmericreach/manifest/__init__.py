"""The manifest: schema, validation, JSON Schema, differences, encoding and revisions."""

from turmericreach.manifest.apply import apply_manifest, read_revision
from turmericreach.manifest.diff import Change, diff_manifests
from turmericreach.manifest.encoding import (
    decode_manifest,
    decode_revision,
    encode_manifest,
    encode_revision,
)
from turmericreach.manifest.errors import GenerationConflict, ManifestError
from turmericreach.manifest.history import HISTORY_KIND, read_history, record_revision
from turmericreach.manifest.json_schema import manifest_schema
from turmericreach.manifest.loader import load_manifest
from turmericreach.manifest.revision import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    Revision,
    plan_apply,
)
from turmericreach.manifest.schema import (
    DataCentre,
    Manifest,
    ModelSpec,
    Policy,
    ServiceKind,
    ServiceSpec,
    SiteSpec,
    TargetSpec,
    TrainerSpec,
)

__all__ = [
    "HISTORY_KIND",
    "MANIFEST_KIND",
    "MANIFEST_NAME",
    "Change",
    "DataCentre",
    "GenerationConflict",
    "Manifest",
    "ManifestError",
    "ModelSpec",
    "Policy",
    "Revision",
    "ServiceKind",
    "ServiceSpec",
    "SiteSpec",
    "TargetSpec",
    "TrainerSpec",
    "apply_manifest",
    "decode_manifest",
    "decode_revision",
    "diff_manifests",
    "encode_manifest",
    "encode_revision",
    "load_manifest",
    "manifest_schema",
    "plan_apply",
    "read_history",
    "read_revision",
    "record_revision",
]
