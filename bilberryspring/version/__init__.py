"""Configuration documents, and their publication and distribution by version."""

from bilberryspring.version.document import (
    check_document,
    encode_document,
    parse_document,
)
from bilberryspring.version.index import ConfigurationIndex, make_index
from bilberryspring.version.objects import (
    Configuration,
    Model,
    Pool,
    Route,
    WorkRank,
    Workspace,
)

__all__ = [
    "Configuration",
    "ConfigurationIndex",
    "Model",
    "Pool",
    "Route",
    "WorkRank",
    "Workspace",
    "check_document",
    "encode_document",
    "make_index",
    "parse_document",
]
