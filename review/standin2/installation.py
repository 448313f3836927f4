"""An installation with workers, a first manifest and a client."""

import random
import time
from typing import Any

from review.standin2.calls import call
from review.standin2.calls import manifest
from review.standin2.calls import order
from review.standin2.platform import Platform
from review.standin2.record import Record
from review.standin2.worker import Workers

HOST = "nony24.example"


class Installation:
    """A started installation that accepts jobs.

    Attributes
    ----------
    ready : bool
        Whether the first manifest was acknowledged and a job can be sent.
    """

    def __init__(
        self,
        record: Record,
        workers: int,
        queues: list[dict[str, Any]],
        fronts: int = 1,
        cores: int = 3,
    ) -> None:
        self.record = record
        self.platform = Platform(record, cores=cores, fronts=fronts)
        platform = self.platform
        platform.start()
        self.control = [
            f"{m.ip}:{platform.control_port}" for m in platform.cores
        ]
        self.fronts = [
            f"{m.ip}:{platform.front_port}" for m in platform.fronts
        ]
        self.workers = Workers(
            record, self.control, platform.worker_port, platform.zones
        )
        status, _ = order(
            self.control,
            "POST",
            "/api/configuration/replace",
            manifest(1, queues),
            patience_s=15,
        )
        record.add(f"operator: version 1: {status}")
        self.ready = status == 200
        self.workers.add([platform.ip(3, n) for n in range(workers)])
        time.sleep(3.0)

    def submit(
        self,
        queue: int,
        steps: list[dict[str, Any]],
        spec: str,
        job_id: str = "",
        host: str = HOST,
    ) -> tuple[str, int]:
        """Hand a job in; return its path and the status."""
        job_id = job_id or f"{random.randrange(2**64):016x}"
        path = f"/pule{queue:04d}/{job_id}"
        body = {"task_spec": spec, "steps": steps}
        for _ in range(5):
            status, _ = call(
                random.choice(self.fronts),
                "POST",
                path,
                body,
                {"Host": host},
                timeout_s=3.0,
            )
            if status in (200, 404, 429):
                break
            time.sleep(0.3)
        self.record.add(f"client: POST {path} {spec}: {status or 'no answer'}")
        return path, status

    def state(self, path: str, host: str = HOST) -> str:
        """Return the state of a job, or the status of the answer."""
        status, body = call(
            random.choice(self.fronts),
            "GET",
            path,
            None,
            {"Host": host},
            timeout_s=3.0,
        )
        return str(body["state"]) if status == 200 else str(status)

    def close(self) -> None:
        """End everything."""
        self.workers.close()
        self.platform.close()
