"""YAML documents checked against attrs classes, with line numbers, for settings and manifest."""

from turmericreach.documents.checker import CheckedDocument, check_document, structure
from turmericreach.documents.fields import bounded
from turmericreach.documents.problem import Problem

__all__ = ["CheckedDocument", "Problem", "bounded", "check_document", "structure"]
