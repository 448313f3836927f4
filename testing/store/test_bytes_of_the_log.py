"""Bytes that a member holds, whatever the size and rate of the commands."""

import pathlib
import sys

import pytest

from sardinespool.replication.log_sender import LogSender
from testing.store.limited_disks import LimitedDisks
from testing.store.limited_disks import used_bytes
from testing.store.sized_group import COMMAND_BYTES_MAX
from testing.store.sized_group import NAMES
from testing.store.sized_group import SEGMENT_BYTES
from testing.store.sized_group import SizedGroup

STATE_BYTES = COMMAND_BYTES_MAX + 1_000
"""The state is the last manifest."""
UNCOMMITTED_BYTES = SEGMENT_BYTES // 2 + COMMAND_BYTES_MAX + 1_000
"""Also entries of the group itself: new terms and members."""
SEGMENT_BYTES_MAX = SEGMENT_BYTES + 2 * UNCOMMITTED_BYTES
"""A batch, and what it replaces of a former leader, come on top."""
DISK_BYTES = 2 * SEGMENT_BYTES_MAX + 2 * STATE_BYTES + 1_000
LOG_BYTES = 2 * SEGMENT_BYTES + 2 * UNCOMMITTED_BYTES
"""Before and after the snapshot. The entries that were not committed when it
was taken are in the segment before it."""
IN_FLIGHT_BYTES = SEGMENT_BYTES + COMMAND_BYTES_MAX
SNAPSHOTS = 2
SETTINGS = {
    "append_limit_bytes": 4_000,
    "in_flight_limit_bytes": SEGMENT_BYTES,
    "retained_limit_bytes": SEGMENT_BYTES,
    "uncommitted_limit_bytes": SEGMENT_BYTES,
}
NO_LIMIT = sys.maxsize
RUN_MS = 12_000
RECOVERY_MS = 10_000


def assert_within_bounds(group: SizedGroup) -> None:
    for member in group.members.values():
        assert used_bytes(member.folder) <= DISK_BYTES, "disk"
        if member.handler is None:
            continue
        log = member.replica._raft.log
        assert log.size_after(log.base_index) <= LOG_BYTES, "log"
        if member.replica._leadership is None:
            continue
        snapshots = {id(log.snapshot)}
        for progress in member.replica._leadership._progress.values():
            assert progress.in_flight_bytes <= IN_FLIGHT_BYTES, "in flight"
            if progress.outgoing_snapshot is not None:
                snapshots.add(id(progress.outgoing_snapshot.snapshot))
        assert len(snapshots) <= SNAPSHOTS, "snapshots"


def cause_trouble(group: SizedGroup, disks: LimitedDisks) -> None:
    """Change one fault at random; a majority always runs."""
    chance = group.random
    disks.full.clear()
    group.cut.clear()
    names = chance.sample(NAMES, 2)
    match chance.randrange(4):
        case 0:
            group.kill(names[0])
        case 1:
            group.cut.update(names)
        case 2:
            disks.full.add(group.members[names[0]].folder)
            group.cut.add(names[1])
        case _:
            pass


def play(group: SizedGroup, disks: LimitedDisks, size_bytes_max: int) -> None:
    """Send changes of random sizes in bursts beside troubles."""
    chance = group.random
    group.run(3_000)
    end_ms = group.now_ms + RUN_MS
    burst = 0
    while group.now_ms < end_ms:
        if chance.random() < 0.02:
            cause_trouble(group, disks)
        if chance.random() < 0.05:
            burst = chance.choice((0, 1, 8))
        for _ in range(burst):
            group.submit(chance.randint(1, size_bytes_max))
        group.step()
        assert_within_bounds(group)


@pytest.mark.parametrize("size_bytes_max", [COMMAND_BYTES_MAX, 200])
@pytest.mark.parametrize("seed", range(4))
def test_log_of_any_commands_fills_neither_disk_nor_memory(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    size_bytes_max: int,
) -> None:
    """Guards against a log bounded by its entries, whatever their size."""
    disks = LimitedDisks(monkeypatch, DISK_BYTES)
    group = SizedGroup(tmp_path, seed, SETTINGS, SEGMENT_BYTES)
    play(group, disks, size_bytes_max)
    disks.full.clear()
    group.cut.clear()
    group.run(RECOVERY_MS)
    group.submit(1)
    group.run(1_000)
    assert group.acknowledged[-1] == group.version, "no change is accepted"
    for member in group.members.values():
        assert member.machine.manifest.version == group.version
        assert max(group.acknowledged) <= member.machine.manifest.version
    group.close()


@pytest.mark.parametrize(
    ("bound", "setting"),
    [
        ("log", "snapshot_every_bytes"),
        ("log", "retained_limit_bytes"),
        ("log", "uncommitted_limit_bytes"),
        ("in flight", "in_flight_limit_bytes"),
        ("snapshots", ""),
    ],
)
def test_each_limit_of_the_log_is_needed(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    bound: str,
    setting: str,
) -> None:
    """Guards against a limit that no run of the test above reaches."""
    disks = LimitedDisks(monkeypatch, NO_LIMIT)
    settings = dict(SETTINGS)
    snapshot_every_bytes = SEGMENT_BYTES
    if setting == "snapshot_every_bytes":
        snapshot_every_bytes = NO_LIMIT
    elif setting:
        settings[setting] = NO_LIMIT
    else:
        monkeypatch.setattr(
            LogSender, "abort_transfers", lambda self, before_index: None
        )
    broken = set()
    for seed in range(8):
        group = SizedGroup(
            tmp_path / str(seed), seed, settings, snapshot_every_bytes
        )
        try:
            play(group, disks, COMMAND_BYTES_MAX)
        except AssertionError as error:
            broken.add(str(error).partition("\n")[0])
        group.close()
        if bound in broken:
            return
    raise AssertionError(f"without the limit only these broke: {broken}")
