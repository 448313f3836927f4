"""Operators: patches, jobs and restrictions, resent until answered."""

from collections.abc import Callable
from typing import Any

from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages import configuration as messages
from sardinespool.messages import jobs
from sardinespool.messages.tasks import RestrictStarts
from testing.proof.engine import Host
from testing.proof.engine import Steps

CALL_TIMEOUT_MS = 5_000
RETRY_MS = 200


class OperatorHost(Host):
    """Operators at one command line; `author` of patches differs by host."""

    def __init__(self, world: Any, name: str) -> None:
        super().__init__(world, name, "")
        self.unfinished = 0
        self._patches = 0

    def patch(
        self,
        *changes: messages.Change,
        done: Callable[[int], None] = lambda version: None,
    ) -> None:
        """Submit and approve changes; start again after a conflict."""
        self._run(self._patch(changes, done))

    def set_domain(self, domain: str, state: str) -> None:
        key, value = f"failure_domains/{domain}", {"state": state}
        self.patch(messages.Change(op="set", key=key, value=value))

    def restrict(self, domain: str) -> None:
        self._run(self._ask(domain, RestrictStarts(operator=self.name)))

    def submit_job(self, job: jobs.Job) -> None:
        self.world.oracle.jobs[job.job_id] = job
        self._run(self._until_receipt(jobs.SubmitJob(job=job)))

    def cancel_job(self, job_id: str) -> None:
        self.world.oracle.cancelled.add(job_id)
        self._run(self._until_receipt(jobs.CancelJob(job_id=job_id)))

    def _run(self, steps: Steps) -> None:
        def counted() -> Steps:
            self.unfinished += 1
            yield from steps
            self.unfinished -= 1

        self.spawn(counted())

    def _ask(self, group: str, request: Any) -> Steps:
        """Send a request again and again until the group answers."""
        while True:
            reply = yield self.call(group, request, CALL_TIMEOUT_MS)
            if not isinstance(reply, GroupUnavailableError):
                return reply
            yield self.sleep(RETRY_MS)

    def _until_receipt(self, request: Any) -> Steps:
        while True:
            reply = yield from self._ask("global", request)
            if isinstance(reply, jobs.JobReceipt):
                return
            yield self.sleep(RETRY_MS)

    def _patch(
        self,
        changes: tuple[messages.Change, ...],
        done: Callable[[int], None],
    ) -> Steps:
        oracle = self.world.oracle
        while True:
            current = yield from self._ask(
                "global", messages.ReadConfiguration()
            )
            self._patches += 1
            patch_id = f"{self.name}-{self._patches}"
            oracle.submitting(patch_id, changes)
            submit = messages.SubmitPatch(
                patch_id=patch_id,
                base_version=current.version,
                changes=changes,
                author=self.name,
            )
            receipt = yield from self._ask("global", submit)
            if isinstance(receipt, messages.PatchReceipt) and (
                receipt.state == "pending"
            ):
                approve = messages.ApprovePatch(
                    patch_id=patch_id, digest=receipt.digest, approver="legal"
                )
                receipt = yield from self._ask("global", approve)
            # A resent patch that another one overtook has the state void.
            if isinstance(receipt, messages.PatchReceipt) and (
                receipt.state == "approved"
            ):
                oracle.approved(patch_id, receipt.version)
                done(receipt.version)
                return
            oracle.refused(patch_id)
            yield self.sleep(self.engine.random.randint(1, RETRY_MS))
