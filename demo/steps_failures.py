"""Step: killed processes are replaced while requests continue."""

import shutil
import time

from demo.caller import fetch
from demo.caller import SeatCheckLoad
from demo.context import check
from demo.context import DemoContext
from demo.settings_files import ProcessSpec
from demo.steps_configuration import READY_TIMEOUT_S
from demo.steps_configuration import wait_until_in_force
from sardinespool.messages.configuration import Change

REQUEST_INTERVAL_S = 0.05
BASELINE_S = 2.0
SETTLE_S = 3.0
ANSWERED_SHARE_MIN = 0.99


def killed_processes_are_replaced(demo: DemoContext) -> str:
    """Check that requests succeed while killed processes are replaced."""
    domain = demo.shape.domain_names[0]
    # The first store of a domain is also a member of the global group.
    store = demo.plan.processes_of("store", domain)[0]
    entry = demo.plan.processes_of("entry", domain)[-1]
    other_addresses = [
        address
        for address in demo.entry_addresses()
        if address != entry.address
    ]
    load = SeatCheckLoad(demo.caller, other_addresses, REQUEST_INTERVAL_S)
    use_empty_folder = demo.shape.can_replace_lost_data
    with load:
        time.sleep(BASELINE_S)
        demo.processes.kill(store.name)
        demo.processes.kill(entry.name)
        killed_monotonic = time.monotonic()
        time.sleep(SETTLE_S)
        if use_empty_folder and store.data_folder is not None:
            shutil.rmtree(store.data_folder)
        for process in (store, entry):
            demo.processes.start(process)
        for process in (store, entry):
            _wait_ready(demo, process)
        ready_s = time.monotonic() - killed_monotonic
        _wait_voter(demo, store)
        voter_s = time.monotonic() - killed_monotonic
        receipt = demo.submit_patch(
            "after-repair",
            (Change(op="set", key="limits/after-repair", value=1),),
        )
        approval = demo.approver.post(
            f"patches/{receipt.patch_id}/approve", {"digest": receipt.digest}
        )
        wait_until_in_force(demo, approval["version"])
        time.sleep(SETTLE_S)
    counts = load.counts
    check(counts.wrong == 0, f"incorrect responses: {counts}")
    check(
        counts.answered >= ANSWERED_SHARE_MIN * counts.total,
        f"too few requests answered: {counts}",
    )
    folder_description = (
        "an empty data folder" if use_empty_folder else "its data folder"
    )
    return (
        f"{store.name} (restarted with {folder_description}) and "
        f"{entry.name} ready again after {ready_s:.1f} s, "
        f"store a voter after {voter_s:.1f} s, "
        f"version {approval['version']} in force; "
        f"{counts.total} seat checks: {counts}"
    )


def _wait_ready(demo: DemoContext, process: ProcessSpec) -> None:
    def probe() -> bool:
        return fetch(process.address, "/ready", timeout_s=2).status == 200

    demo.wait_for(f"{process.name} is ready", probe, READY_TIMEOUT_S)


def _wait_voter(demo: DemoContext, store: ProcessSpec) -> None:
    """Wait until the store is a voter in each of its groups."""

    def probe() -> bool:
        groups = fetch(store.address, "/dump").json()["groups"].values()
        return all(
            group["replica"]["identity"] in group["replica"]["voters"]
            for group in groups
        )

    demo.wait_for(f"{store.name} is a voter", probe, READY_TIMEOUT_S)
