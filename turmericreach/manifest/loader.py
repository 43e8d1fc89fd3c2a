"""Loads a manifest from YAML."""

from turmericreach.documents import check_document, structure
from turmericreach.manifest.errors import ManifestError
from turmericreach.manifest.references import check_references
from turmericreach.manifest.schema import Manifest

__all__ = ["load_manifest"]


def load_manifest(text: str, source: str) -> Manifest:
    """Load and validate a manifest.

    Parameters
    ----------
    text : str
        YAML document.
    source : str
        Name of the document in error messages.

    Raises
    ------
    ManifestError
        If the document is invalid; the error lists all problems.
    """
    document = check_document(text, Manifest)
    if document.value:
        check_references(document)
    if document.problems:
        raise ManifestError(source, document.problems)
    return structure(document.value, Manifest)
