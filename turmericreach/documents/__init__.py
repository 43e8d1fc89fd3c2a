"""Validation of YAML documents against attrs classes, with line numbers in the problems."""

from turmericreach.documents.checker import CheckedDocument, check_document, structure
from turmericreach.documents.fields import bounded
from turmericreach.documents.problem import Problem
from turmericreach.http1.addresses import MAX_PORT, is_address, is_ip

__all__ = [
    "MAX_PORT",
    "CheckedDocument",
    "Problem",
    "bounded",
    "check_document",
    "is_address",
    "is_ip",
    "structure",
]
