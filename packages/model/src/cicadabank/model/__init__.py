"""Data types, table keys and base errors shared by all packages."""

from cicadabank.model.errors import (
    CicadabankError,
    ConflictError,
    InvalidInputError,
    NotFoundError,
)
from cicadabank.model.internal.codec import (
    decode,
    decode_as,
    encode,
    from_builtins,
    to_builtins,
)
from cicadabank.model.internal.ids import new_id, seeded_ids
from cicadabank.model.internal.jobs import (
    TERMINAL_STATES,
    Adjacency,
    Decision,
    JobRow,
    JobSpec,
    JobState,
    Member,
    Ran,
    describe_shape,
)
from cicadabank.model.internal.keys import Key
from cicadabank.model.internal.resources import (
    KINDS,
    FailureDomain,
    Guarantee,
    GuaranteedShape,
    ServiceLevel,
    Workspace,
    parse_resource,
)

__all__ = [
    "KINDS",
    "TERMINAL_STATES",
    "Adjacency",
    "CicadabankError",
    "ConflictError",
    "Decision",
    "FailureDomain",
    "Guarantee",
    "GuaranteedShape",
    "InvalidInputError",
    "JobRow",
    "JobSpec",
    "JobState",
    "Key",
    "Member",
    "NotFoundError",
    "Ran",
    "ServiceLevel",
    "Workspace",
    "decode",
    "decode_as",
    "describe_shape",
    "encode",
    "from_builtins",
    "new_id",
    "parse_resource",
    "seeded_ids",
    "to_builtins",
]
