"""The versioned configuration: its tree, the changes to it, and the version in force."""

from waxwingglade.version.active import ActiveConfig, Source
from waxwingglade.version.approval import unusable_rules
from waxwingglade.version.cleanup import delete_old_records
from waxwingglade.version.config_store import ConfigKeys, ConfigStore
from waxwingglade.version.following import catch_up, follow_store, seed_store
from waxwingglade.version.level import LevelPath, PolicyPath, SettingName
from waxwingglade.version.nested_form import nested_tree, parse_tree
from waxwingglade.version.proposal import (
    Approval,
    Proposal,
    ProposalId,
    ProposalState,
    digest_of,
)
from waxwingglade.version.rule import ApprovalRule, HoursUtc
from waxwingglade.version.saved_copy import load_copy, maintain_copy, open_active, save_copy
from waxwingglade.version.service import ConfigService
from waxwingglade.version.snapshot import ConfigDigest, ConfigSnapshot, VersionRecord
from waxwingglade.version.status import ConfigStatus, VersionReports
from waxwingglade.version.store_api import KeyValue, Listing, Store, WatchEvent, WatchKind
from waxwingglade.version.tree import Change, Explanation, Tree, apply_changes, explain, resolve

__all__ = [
    "ActiveConfig",
    "Approval",
    "ApprovalRule",
    "Change",
    "ConfigDigest",
    "ConfigKeys",
    "ConfigService",
    "ConfigSnapshot",
    "ConfigStatus",
    "ConfigStore",
    "Explanation",
    "HoursUtc",
    "KeyValue",
    "LevelPath",
    "Listing",
    "PolicyPath",
    "Proposal",
    "ProposalId",
    "ProposalState",
    "SettingName",
    "Source",
    "Store",
    "Tree",
    "VersionRecord",
    "VersionReports",
    "WatchEvent",
    "WatchKind",
    "apply_changes",
    "catch_up",
    "delete_old_records",
    "digest_of",
    "explain",
    "follow_store",
    "load_copy",
    "maintain_copy",
    "nested_tree",
    "open_active",
    "parse_tree",
    "resolve",
    "save_copy",
    "seed_store",
    "unusable_rules",
]
