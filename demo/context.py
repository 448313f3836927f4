"""Context and helper functions shared by the demonstration steps."""

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
from demo.settings_files import DeploymentPlan
from demo.settings_files import ProcessSpec
from demo.shape import DeploymentShape
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
    """A demonstration step failed."""


@dataclasses.dataclass(slots=True)
class DemoContext:
    """Running deployment with clients of an operator, approver and caller."""

    shape: DeploymentShape
    plan: DeploymentPlan
    processes: ProcessSet
    operator: OperatorClient
    approver: OperatorClient
    caller: Caller
    run_id: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(3)
    )

    def entry_addresses(self, failure_domain: str = "") -> list[str]:
        """Return the addresses of all entries, or of one failure domain."""
        return [
            process.address
            for process in self.plan.processes_of("entry", failure_domain)
        ]

    def status(self) -> ConfigurationStatusReply:
        """Return the configuration versions in force."""
        return msgspec.convert(
            self.operator.get("status"), ConfigurationStatusReply
        )

    def current_version(self) -> int:
        """Return the current configuration version."""
        reply = self.operator.get("configuration")
        return msgspec.convert(reply, Configuration).version

    def submit_patch(
        self, patch_id: str, changes: tuple[Change, ...]
    ) -> PatchReceipt:
        """Submit a patch based on the current configuration version."""
        # Steps may repeat a change, so the id includes the base version to
        # stay unique.
        base_version = self.current_version()
        reply = self.operator.post(
            "patches",
            {
                "patch_id": f"{patch_id}-{self.run_id}-{base_version}",
                "base_version": base_version,
                "changes": changes,
            },
        )
        return msgspec.convert(reply, PatchReceipt)

    def set_failure_domain_state(self, failure_domain: str, state: str) -> int:
        """Set the state of a failure domain; return the new version.

        The operator has a standing approval, so a failure domain can be
        taken out of service without waiting for an approver.
        """
        change = Change(
            op="set",
            key=f"failure_domains/{failure_domain}",
            value={"state": state},
        )
        receipt = self.submit_patch(f"{failure_domain}-{state}", (change,))
        if receipt.state != "approved":
            raise StepFailedError(
                f"patch is {receipt.state}, expected approved"
            )
        return receipt.version

    def worker_records(
        self, event: str, failure_domain: str = "", **values: Any
    ) -> list[dict[str, Any]]:
        """Return events of the workers' record files, ordered by time.

        Only records of `event` whose fields equal `values` are returned.
        """
        matches = []
        for worker in self.plan.processes_of("worker", failure_domain):
            assert worker.record_path is not None
            for record in read_records(worker.record_path):
                if record["event"] == event and all(
                    record.get(key) == value for key, value in values.items()
                ):
                    matches.append({"worker": worker, **record})
        return sorted(matches, key=lambda record: record["unix_ms"])

    def job_records(self, event: str, job_id: str) -> list[dict[str, Any]]:
        """Return the recorded events of a job's tasks, ordered by time."""
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
        """Return a job's state in the global group, empty if not listed."""
        for job in self.operator.get("jobs")["jobs"]:
            if job["job_id"] == job_id:
                return str(job["state"])
        return ""

    def wait_for(
        self, description: str, probe: Callable[[], T | None], timeout_s: float
    ) -> T:
        """Poll until `probe` returns a value other than None or False.

        Raises
        ------
        StepFailedError
            The time limit passed, or a process exited unexpectedly.
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
            exit_codes = self.processes.ended()
            if exit_codes:
                name = next(iter(exit_codes))
                raise StepFailedError(
                    f"{name} exited with code {exit_codes[name]}:\n"
                    f"{self.processes.log_tail(name)}"
                )
            if time.monotonic() >= deadline:
                raise StepFailedError(
                    f"timed out after {timeout_s:g} s waiting until "
                    f"{description}{last_error}"
                )
            time.sleep(POLL_INTERVAL_S)


def check(condition: bool, text: str) -> None:
    """Raise `StepFailedError` with `text` if `condition` is false."""
    if not condition:
        raise StepFailedError(text)


def failure_domain_of(record: dict[str, Any]) -> str:
    """Return the failure domain of the worker that wrote a record."""
    worker: ProcessSpec = record["worker"]
    return worker.failure_domain
