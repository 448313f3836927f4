"""Start and end of the script of a case."""

import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from review.standin.cluster import Cluster
from review.standin.cluster import manifest_of
from review.standin.cluster import ZONES
from review.standin.http import call
from review.standin.record import Record
from review.standin.worker import Worker

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Case:
    """Machines, workers and record of a case.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    workers : int
        Number of workers, in turn in the three zones.
    labels : dict of int to str
        Further label of a worker, by its number.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        workers: int,
        labels: dict[int, str] | None = None,
    ) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.cluster = Cluster(1, self.record)
        self.workers = [
            Worker(
                {
                    "id": f"i-{number:08x}",
                    "address": f"{self.cluster.network}.{101 + number}:8367",
                    "zone": ZONES[number % 3],
                    "machine": f"m-{number:05x}",
                    "labels": [
                        "a",
                        f"r{number % 3}-0",
                        *(
                            [labels[number]]
                            if number in (labels or {})
                            else []
                        ),
                    ],
                },
                "inscripciones",
                self.cluster.control_addresses,
                self.record,
            )
            for number in range(workers)
        ]

    async def start(self, hosts: list[str]) -> None:
        """Start all machines and workers; wait until callers are served."""
        await self.cluster.start(manifest_of(1, hosts))
        for worker in self.workers:
            await worker.start()
        await asyncio.sleep(3.0)

    async def request(
        self, method: str, host: str, job_id: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a caller's request to the front machine."""
        status, answer = await call(
            self.cluster.fronts[0].address,
            method,
            f"/jobs/{job_id}",
            body,
            {"Host": host, "X-Sardinespool-Request-Deadline": "3000"},
            timeout_s=3.2,
        )
        self.record.line(
            "request",
            method=method,
            host=host,
            job=job_id,
            status=status,
            answer=answer,
        )
        return status, answer

    def stop(self) -> None:
        """End all workers and programs."""
        for worker in self.workers:
            worker.crash()
        self.cluster.stop()


def run(
    file: str,
    play: Callable[[Case], Awaitable[str]],
    workers: int,
    labels: dict[int, str] | None = None,
) -> None:
    """Play a case and exit with 1 if its rule was broken.

    Parameters
    ----------
    file : str
        File of the case.
    play : callable
        Returns what broke the rule, or "" if it held.
    workers : int
        Number of workers.
    labels : dict of int to str
        Further labels of workers.
    """
    case = Case(pathlib.Path(file).parent, workers, labels)

    async def play_and_stop() -> str:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await play(case)
        finally:
            case.stop()

    try:
        broken = asyncio.run(play_and_stop())
    except (Exception, asyncio.CancelledError) as error:
        case.record.line("cannot run", error=repr(error))
        print(f"cannot run: {error!r}")
        sys.exit(CANNOT_RUN)
    verdict = f"broken: {broken}" if broken else "held"
    case.record.line("verdict", text=verdict)
    case.record.close()
    print(verdict)
    sys.exit(BROKEN if broken else HELD)
