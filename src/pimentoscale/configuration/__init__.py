"""Configuration versions, which every node derives from the platform's log."""

from pimentoscale.configuration.fold import Fold, PatchVerdict, Rejection
from pimentoscale.configuration.model import (
    Configuration,
    Kind,
    Policy,
    Service,
    Zone,
)
from pimentoscale.configuration.patch import Patch, apply_patch, read_patch
from pimentoscale.configuration.records import (
    Consent,
    Lapse,
    PatchRecord,
    Record,
    SnapshotRecord,
    decode_record,
    encode_record,
)
from pimentoscale.configuration.replica import ConfigurationReplica
from pimentoscale.configuration.rules import check_configuration

__all__ = [
    "Configuration",
    "ConfigurationReplica",
    "Consent",
    "Fold",
    "Kind",
    "Lapse",
    "Patch",
    "PatchRecord",
    "PatchVerdict",
    "Policy",
    "Record",
    "Rejection",
    "Service",
    "SnapshotRecord",
    "Zone",
    "apply_patch",
    "check_configuration",
    "decode_record",
    "encode_record",
    "read_patch",
]
