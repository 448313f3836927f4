"""Steps: killed processes are replaced while requests go on."""

import shutil
import time

from demo.caller import fetch
from demo.caller import SeatStream
from demo.context import check
from demo.context import Demo
from demo.settings_files import Process
from demo.steps_configuration import READY_TIMEOUT_S
from demo.steps_configuration import wait_in_force
from sardinespool.messages.configuration import Change

STREAM_INTERVAL_S = 0.05
UNDISTURBED_S = 2.0
SETTLE_S = 3.0
ANSWERED_SHARE = 0.99


def killed_processes_are_replaced(demo: Demo) -> str:
    """Check that callers go on while killed processes are replaced."""
    domain = demo.shape.domain_names[0]
    # The first store of a domain is a member of the global group too.
    store = demo.plan.of("store", domain)[0]
    entry = demo.plan.of("entry", domain)[-1]
    others = [a for a in demo.entry_addresses() if a != entry.address]
    stream = SeatStream(demo.caller, others, STREAM_INTERVAL_S)
    empty = demo.shape.replace_with_empty_folder
    with stream:
        time.sleep(UNDISTURBED_S)
        demo.processes.kill(store.name)
        demo.processes.kill(entry.name)
        killed = time.monotonic()
        time.sleep(SETTLE_S)
        if empty and store.data_folder is not None:
            shutil.rmtree(store.data_folder)
        for process in (store, entry):
            demo.processes.start(process)
        for process in (store, entry):
            _wait_ready(demo, process)
        ready_s = time.monotonic() - killed
        _wait_voter(demo, store)
        voter_s = time.monotonic() - killed
        receipt = demo.submit(
            "after-repair",
            (Change(op="set", key="limits/after-repair", value=1),),
        )
        answer = demo.approver.post(
            f"patches/{receipt.patch_id}/approve", {"digest": receipt.digest}
        )
        wait_in_force(demo, answer["version"])
        time.sleep(SETTLE_S)
    counts = stream.counts
    check(counts.wrong == 0, f"wrong answers: {counts}")
    check(
        counts.answered >= ANSWERED_SHARE * counts.total,
        f"too few answers: {counts}",
    )
    folder = "an empty data folder" if empty else "its data folder"
    return (
        f"{store.name} (back with {folder}) and {entry.name} ready again "
        f"after {ready_s:.1f} s, a voter after {voter_s:.1f} s, version "
        f"{answer['version']} in force; "
        f"{counts.total} seat checks: {counts}"
    )


def _wait_ready(demo: Demo, process: Process) -> None:
    def probe() -> bool:
        return fetch(process.address, "/ready", timeout_s=2).status == 200

    demo.wait_for(f"{process.name} is ready", probe, READY_TIMEOUT_S)


def _wait_voter(demo: Demo, store: Process) -> None:
    """Wait until the store counts in the quorum of each of its groups."""

    def probe() -> bool:
        groups = fetch(store.address, "/dump").json()["groups"].values()
        return all(
            group["replica"]["identity"] in group["replica"]["voters"]
            for group in groups
        )

    demo.wait_for(f"{store.name} is a voter", probe, READY_TIMEOUT_S)
