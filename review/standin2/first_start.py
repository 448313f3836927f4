"""A core machine is killed while the whole system starts for the first time.

Its disk stays and it is back after 3.5 s. The operator sends the first
manifest all the while, and a client sends jobs.
"""

import os
import pathlib
import random
import sys
import time

from review.standin2.calls import call
from review.standin2.calls import manifest
from review.standin2.calls import order
from review.standin2.platform import Platform
from review.standin2.record import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KILL_AFTER_S = 0.05
"""After the start of the last machine; the first has then run for 0.3 s."""
DOWN_S = 3.5
"""``for_s`` of ``node_kill`` with ``on = "core"`` in the site file."""
JUDGED_S = 40.0
ACK_TIMEOUT_S = 4.0


def main(folder: pathlib.Path) -> int:
    """Run the case."""
    record = Record(folder / "record.txt")
    platform = Platform(record, cores=3, fronts=1)
    try:
        return play(platform, record)
    finally:
        platform.close()


def play(platform: Platform, record: Record) -> int:
    """Start the system, kill one core machine, hand jobs in."""
    platform.start(order=[2, 1, 0])
    control = [f"{m.ip}:{platform.control_port}" for m in platform.cores]
    front = f"{platform.fronts[0].ip}:{platform.front_port}"
    if TROUBLE:
        time.sleep(KILL_AFTER_S)
        platform.cores[2].kill(restart_after_s=DOWN_S)
    else:
        record.add("no disruption")
    acked = False
    served = 0
    asked = 0
    body = manifest(1, [{}])
    while record.now() < JUDGED_S and served < 10:
        if not acked:
            status, _ = order(
                random.sample(control, len(control)),
                "POST",
                "/api/configuration/replace",
                body,
                patience_s=3.0,
            )
            acked = status == 200
            record.add(f"operator: version 1: {status or 'no answer'}")
        # Traffic starts 12 s after the machines do.
        if record.now() > 12:
            asked += 1
            status, _ = call(
                front,
                "POST",
                f"/pule0000/{random.randrange(2**64):016x}",
                {
                    "task_spec": "x",
                    "steps": [
                        {
                            "count": 1,
                            "cpu": 500,
                            "requested_memory_mb": 256,
                            "estimated_ms": 900,
                        }
                    ],
                },
                {"Host": "nony24.example"},
                timeout_s=3.0,
            )
            served += status == 200
            record.add(f"client: a job: {status or 'no answer'}")
        time.sleep(0.5)
    for machine in platform.cores:
        record.add(
            f"{machine.name}: ended {len(machine.own_ends)} times by itself"
        )
    record.add(f"manifest acknowledged: {acked}; jobs {served} of {asked}")
    if not acked or not served:
        record.add("BROKEN: Fault, no request is served")
        return 1
    record.add("held")
    return 0


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])))
