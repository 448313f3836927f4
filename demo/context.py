"""What the steps of the demonstration share."""

import dataclasses
import http.client
import secrets
import time
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec

from demo.caller import Caller
from demo.processes import ProcessSet
from demo.settings_files import Plan
from demo.settings_files import Process
from demo.shape import Shape
from demo.standin.records import read_records
from sardinespool.errors import SardinespoolError
from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.programs.command_line.client import OperatorClient

POLL_INTERVAL_S = 0.1

T = TypeVar("T")


class StepFailedError(SardinespoolError):
    """A step of the demonstration did not hold."""


@dataclasses.dataclass(slots=True)
class Demo:
    """Running deployment with an operator, an approver and a caller."""

    shape: Shape
    plan: Plan
    processes: ProcessSet
    operator: OperatorClient
    approver: OperatorClient
    caller: Caller
    run_id: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(3)
    )

    def entry_addresses(self, failure_domain: str = "") -> list[str]:
        """Return the addresses of entries, of one domain if given."""
        return [p.address for p in self.plan.of("entry", failure_domain)]

    def status(self) -> ConfigurationStatusReply:
        """Return the versions in force."""
        return msgspec.convert(
            self.operator.get("status"), ConfigurationStatusReply
        )

    def current_version(self) -> int:
        """Return the current version."""
        answer = self.operator.get("configuration")
        return msgspec.convert(answer, Configuration).version

    def submit(
        self, patch_id: str, changes: tuple[Change, ...]
    ) -> PatchReceipt:
        """Submit a patch against the current version."""
        # The same change may come again later, so the id names its base.
        base_version = self.current_version()
        answer = self.operator.post(
            "patches",
            {
                "patch_id": f"{patch_id}-{self.run_id}-{base_version}",
                "base_version": base_version,
                "changes": changes,
            },
        )
        return msgspec.convert(answer, PatchReceipt)

    def set_domain(self, failure_domain: str, state: str) -> int:
        """Change the state of a failure domain; return the version.

        The operator has a standing approval, so that no one has to be found
        before a domain can be taken out.
        """
        change = Change(
            op="set",
            key=f"failure_domains/{failure_domain}",
            value={"state": state},
        )
        receipt = self.submit(f"{failure_domain}-{state}", (change,))
        if receipt.state != "approved":
            raise StepFailedError(f"the patch is {receipt.state}")
        return receipt.version

    def worker_records(
        self, event: str, failure_domain: str = "", **values: Any
    ) -> list[dict[str, Any]]:
        """Return the events in the workers' record files, in time order."""
        found = []
        for worker in self.plan.of("worker", failure_domain):
            assert worker.record is not None
            for record in read_records(worker.record):
                if record["event"] == event and all(
                    record.get(key) == value for key, value in values.items()
                ):
                    found.append({"worker": worker, **record})
        return sorted(found, key=lambda record: record["unix_ms"])

    def job_records(self, event: str, job_id: str) -> list[dict[str, Any]]:
        """Return the events of a job's tasks in the record files."""
        return [
            record
            for record in self.worker_records(event)
            if record["task_id"].startswith(f"{job_id}/")
        ]

    def submit_job(self, name: str, **fields: Any) -> str:
        """Submit a job and return its id."""
        job_id = f"{name}-{self.run_id}"
        self.operator.post(
            "jobs", {"job_id": job_id, "team": self.shape.team, **fields}
        )
        return job_id

    def job_state(self, job_id: str) -> str:
        """Return the state of a job at the global group."""
        for job in self.operator.get("jobs")["jobs"]:
            if job["job_id"] == job_id:
                return str(job["state"])
        return ""

    def wait_for(
        self, what: str, probe: Callable[[], T | None], timeout_s: float
    ) -> T:
        """Poll until `probe` returns a value other than None or False.

        Raises
        ------
        StepFailedError
            It did not in time, or a process ended by itself.
        """
        deadline = time.monotonic() + timeout_s
        last_error = ""
        while True:
            try:
                value = probe()
            except StepFailedError:
                raise
            except (
                SardinespoolError,
                OSError,
                http.client.HTTPException,
            ) as error:
                value = None
                last_error = f"; last error: {error}"
            if value is not None and value is not False:
                return value
            ended = self.processes.ended()
            if ended:
                name = next(iter(ended))
                raise StepFailedError(
                    f"{name} ended with {ended[name]}:\n"
                    f"{self.processes.last_lines(name)}"
                )
            if time.monotonic() >= deadline:
                raise StepFailedError(
                    f"not within {timeout_s:g} s: {what}{last_error}"
                )
            time.sleep(POLL_INTERVAL_S)


def check(condition: bool, text: str) -> None:
    """Raise `StepFailedError` with what was seen if a condition is false."""
    if not condition:
        raise StepFailedError(text)


def domain_of(record: dict[str, Any]) -> str:
    """Return the failure domain of a worker's record."""
    worker: Process = record["worker"]
    return worker.failure_domain
