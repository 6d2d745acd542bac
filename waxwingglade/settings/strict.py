"""Base class and common types of settings classes."""

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,39}$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of settings: immutable, and unknown keys are rejected."""
