"""Tests of the configuration fold: patches, consents, lapses and snapshots."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from pimentoscale.checking import convert_document
from pimentoscale.configuration import (
    Configuration,
    ConfigurationReplica,
    Consent,
    Fold,
    Kind,
    Lapse,
    Patch,
    PatchRecord,
    Record,
    Rejection,
    Service,
    Zone,
    apply_patch,
    check_configuration,
    encode_record,
)

ZONES = ("ab-calgary", "sk-regina")


def make_patch(name: str, base: int, changes: dict[str, Any]) -> PatchRecord:
    patch = Patch(base=base, set=changes)
    return PatchRecord(id=name, patch=patch, submitter="op", message="", at_ms=0)


def consent(patch: str, zone: str) -> Consent:
    return Consent(patch=patch, zone=zone, instance="i")


def apply_records(fold: Fold, *records: Record) -> None:
    for record in records:
        fold.apply(offset=fold.next_offset, data=encode_record(record))


@pytest.fixture
def first(configuration: Configuration) -> PatchRecord:
    return make_patch("first", 0, msgspec.to_builtins(configuration))


@pytest.fixture
def fold(first: PatchRecord) -> Fold:
    fold = Fold()
    apply_records(fold, first, *(consent("first", zone) for zone in ZONES))
    return fold


def test_in_force_once_all_zones_consent(first: PatchRecord) -> None:
    fold = Fold()
    apply_records(fold, first, consent("first", ZONES[0]))
    assert fold.version == 0
    apply_records(fold, consent("first", ZONES[1]))
    assert fold.version == 1


def test_lapse_before_the_last_consent_rejects(first: PatchRecord) -> None:
    fold = Fold()
    lapse = Lapse(patch="first", instance="i")
    apply_records(fold, first, consent("first", ZONES[0]), lapse)
    apply_records(fold, consent("first", ZONES[1]))
    verdict = fold.find_verdict(patch="first")
    assert fold.version == 0
    assert verdict is not None
    assert verdict.rejection is Rejection.NO_CONSENT
    assert ZONES[1] in verdict.detail


def test_lapse_after_all_consents_changes_nothing(fold: Fold) -> None:
    apply_records(fold, Lapse(patch="first", instance="i"))
    assert fold.version == 1


@pytest.mark.parametrize(
    ("base", "rejection"),
    [(0, Rejection.STALE_BASE), (7, Rejection.BASE_AHEAD)],
)
def test_wrong_base_is_rejected(fold: Fold, base: int, rejection: Rejection) -> None:
    apply_records(fold, make_patch("p", base, {}))
    verdict = fold.find_verdict(patch="p")
    assert verdict is not None
    assert verdict.rejection is rejection


def test_of_two_concurrent_patches_the_first_takes_effect(fold: Fold) -> None:
    apply_records(fold, make_patch("a", 1, {}), make_patch("b", 1, {}))
    apply_records(fold, *(consent("a", zone) for zone in ZONES))
    verdict = fold.find_verdict(patch="b")
    assert fold.version == 2
    assert verdict is not None
    assert verdict.rejection is Rejection.ANOTHER_PENDING


def test_second_append_of_a_patch_is_harmless(fold: Fold, first: PatchRecord) -> None:
    apply_records(fold, first)
    assert fold.version == 1
    assert fold.pending is None


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"kinds": {"catalogue.check": {"retries": 99}}}, "retries"),
        ({"kinds": {"catalogue.check": {"service": "none"}}}, "service"),
        ({"kinds": {"catalogue.check": {"calls": ["nothing"]}}}, "calls"),
        ({"kinds": {"catalogue.check": {"calls": ["booking.create"]}}}, "calls"),
        ({"kinds": {"catalogue.check": {"calls": ["catalogue.check"]}}}, "cycle"),
        ({"services": {"catalogue": {"long_share": 2.0}}}, "long_share"),
        ({"speed": 3}, "speed"),
    ],
)
def test_faulty_patch_is_rejected_with_its_key(
    fold: Fold, changes: dict[str, Any], key: str
) -> None:
    apply_records(fold, make_patch("p", 1, changes))
    verdict = fold.find_verdict(patch="p")
    assert verdict is not None
    assert verdict.rejection is Rejection.FAILED_CHECK
    assert key in verdict.detail


def test_damaged_record_is_skipped_and_counted(fold: Fold) -> None:
    fold.apply(offset=fold.next_offset, data=b"\xc1 damaged")
    apply_records(fold, make_patch("a", 1, {}))
    assert fold.skipped_records == 1
    assert fold.pending is not None


def test_older_snapshot_does_not_revert_the_version(fold: Fold) -> None:
    old = fold.make_snapshot(instance="i")
    apply_records(fold, make_patch("a", 1, {}), *(consent("a", z) for z in ZONES))
    assert not fold.install_snapshot(old)
    assert fold.version == 2


def test_altered_snapshot_is_ignored(fold: Fold) -> None:
    record = fold.make_snapshot(instance="i")
    altered = msgspec.structs.replace(record, state=record.state + b"x")
    fresh = Fold()
    assert not fresh.install_snapshot(altered)
    assert fresh.skipped_records == 1


def test_replica_bridges_expired_records_by_a_snapshot(fold: Fold) -> None:
    snapshot = encode_record(fold.make_snapshot(instance="i"))
    patch = encode_record(make_patch("a", 1, {}))
    replica = ConfigurationReplica()
    assert not replica.apply(first=3, records=[patch], snapshot=b"")
    assert replica.apply(first=3, records=[snapshot, patch], snapshot=b"")
    assert replica.fold.version == 1
    assert replica.fold.pending is not None


SMALL = Configuration(
    zones={"z": Zone()},
    services={"s": Service(), "t": Service()},
    kinds={
        "a": Kind(service="s", importance=1, idempotent=False, calls=["b"]),
        "b": Kind(service="t", importance=1, idempotent=True, retries=3),
    },
)
CHANGES = st.fixed_dictionaries(
    {},
    optional={
        "kinds": st.dictionaries(
            st.sampled_from("abc"),
            st.fixed_dictionaries(
                {},
                optional={
                    "service": st.sampled_from(["s", "t", "none"]),
                    "idempotent": st.booleans(),
                    "retries": st.integers(-1, 9),
                    "importance": st.integers(0, 101),
                    "calls": st.lists(st.sampled_from("abcd"), max_size=2),
                },
            ),
            max_size=2,
        ),
        "retry_bound": st.integers(0, 9),
        "services": st.dictionaries(st.sampled_from("stu"), st.just({}), max_size=2),
    },
)
REMOVALS = st.lists(st.sampled_from(["kinds.b", "services.t", "zones.z"]), max_size=1)


@given(change=CHANGES, removals=REMOVALS)
def test_checking_the_changed_kinds_finds_what_checking_all_finds(
    change: dict[str, Any], removals: list[str]
) -> None:
    patch = Patch(base=0, set=change, remove=removals)
    match apply_patch(configuration=SMALL, patch=patch):
        case Ok(result):
            assert check_configuration(result) == []
            document = msgspec.to_builtins(result)
            assert convert_document(document=document, schema=Configuration) == Ok(
                result
            )
        case Err(faults):
            assert faults


class ReplicasOfOneLog(RuleBasedStateMachine):
    """Three replicas of one log with concurrent patches, duplicates and lapses.

    The replicas read at different speeds and install each other's snapshots. Their
    versions must never decrease, and they must agree on verdicts and state.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log: list[bytes] = []
        self.replicas = [ConfigurationReplica() for _ in range(3)]
        self.versions = [0, 0, 0]
        self.ids = 0
        zones: dict[str, Any] = {"zones": {zone: {} for zone in ZONES}}
        self.log.append(encode_record(make_patch("p0", 0, zones)))

    @rule(base=st.integers(0, 4), again=st.booleans())
    def submit(self, base: int, again: bool) -> None:
        """Submit a patch, or the last patch id once more with this content."""
        self.ids += 0 if again else 1
        record = make_patch(f"p{self.ids}", base, {"retry_bound": base})
        self.log.append(encode_record(record))

    @rule(zone=st.sampled_from(ZONES), number=st.integers(0, 5))
    def give_consent(self, zone: str, number: int) -> None:
        self.log.append(encode_record(consent(f"p{number}", zone)))

    @rule(number=st.integers(0, 5))
    def lapse(self, number: int) -> None:
        self.log.append(encode_record(Lapse(patch=f"p{number}", instance="i")))

    @rule(reader=st.integers(0, 2), count=st.integers(1, 5))
    def read_log(self, reader: int, count: int) -> None:
        replica = self.replicas[reader]
        first = replica.fold.next_offset
        records = self.log[first : first + count]
        assert replica.apply(first=first, records=records, snapshot=b"")

    @rule(reader=st.integers(0, 2), writer=st.integers(0, 2))
    def install_snapshot(self, reader: int, writer: int) -> None:
        record = self.replicas[writer].fold.make_snapshot(instance="i")
        first = record.offset
        self.replicas[reader].apply(
            first=first, records=[], snapshot=encode_record(record)
        )

    @invariant()
    def versions_never_decrease(self) -> None:
        for index, replica in enumerate(self.replicas):
            assert replica.fold.version >= self.versions[index]
            self.versions[index] = replica.fold.version

    @invariant()
    def replicas_agree_on_every_verdict(self) -> None:
        for number in range(self.ids + 1):
            verdicts = [
                replica.fold.find_verdict(patch=f"p{number}")
                for replica in self.replicas
            ]
            decided = [verdict for verdict in verdicts if verdict is not None]
            assert all(verdict == decided[0] for verdict in decided)

    @invariant()
    def same_offset_means_same_state(self) -> None:
        states = {
            replica.fold.next_offset: replica.fold.make_snapshot(instance="i").digest
            for replica in self.replicas
        }
        for replica in self.replicas:
            own = replica.fold.make_snapshot(instance="i").digest
            assert own == states[replica.fold.next_offset]


TestReplicasOfOneLog = ReplicasOfOneLog.TestCase
TestReplicasOfOneLog.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
