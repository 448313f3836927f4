"""Simulated operators that resend their requests until they succeed."""

from collections.abc import Callable
from typing import Any

from sardinespool.errors.replication import GroupUnavailableError
from sardinespool.messages import configuration as messages
from sardinespool.messages import jobs
from sardinespool.messages.tasks import RestrictStarts
from testing.proof.engine import Coroutine
from testing.proof.engine import Host

CALL_TIMEOUT_MS = 5_000
RETRY_MS = 200


class OperatorHost(Host):
    """One operator; its host name is the author of its patches."""

    def __init__(self, world: Any, name: str) -> None:
        super().__init__(world, name, "")
        self.unfinished_actions = 0
        self._patch_count = 0

    def patch(
        self,
        *changes: messages.Change,
        on_approved: Callable[[int], None] = lambda version: None,
    ) -> None:
        """Submit and approve a patch; retry after a conflict."""
        self._start_action(self._submit_and_approve(changes, on_approved))

    def set_domain(self, domain: str, state: str) -> None:
        key, value = f"failure_domains/{domain}", {"state": state}
        self.patch(messages.Change(op="set", key=key, value=value))

    def restrict(self, domain: str) -> None:
        self._start_action(
            self._call_until_available(
                domain, RestrictStarts(operator=self.name)
            )
        )

    def submit_job(self, job: jobs.Job) -> None:
        self.world.oracle.jobs[job.job_id] = job
        self._start_action(self._submit_job_request(jobs.SubmitJob(job=job)))

    def cancel_job(self, job_id: str) -> None:
        self.world.oracle.cancelled.add(job_id)
        self._start_action(
            self._submit_job_request(jobs.CancelJob(job_id=job_id))
        )

    def _start_action(self, action: Coroutine) -> None:
        def counted_action() -> Coroutine:
            self.unfinished_actions += 1
            yield from action
            self.unfinished_actions -= 1

        self.spawn(counted_action())

    def _call_until_available(self, group: str, request: Any) -> Coroutine:
        """Resend a request until the group is available."""
        while True:
            reply = yield self.call(group, request, CALL_TIMEOUT_MS)
            if not isinstance(reply, GroupUnavailableError):
                return reply
            yield self.sleep(RETRY_MS)

    def _submit_job_request(self, request: Any) -> Coroutine:
        while True:
            reply = yield from self._call_until_available("global", request)
            if isinstance(reply, jobs.JobReceipt):
                return
            yield self.sleep(RETRY_MS)

    def _submit_and_approve(
        self,
        changes: tuple[messages.Change, ...],
        on_approved: Callable[[int], None],
    ) -> Coroutine:
        oracle = self.world.oracle
        while True:
            current = yield from self._call_until_available(
                "global", messages.ReadConfiguration()
            )
            self._patch_count += 1
            patch_id = f"{self.name}-{self._patch_count}"
            oracle.record_submission(patch_id, changes)
            submit = messages.SubmitPatch(
                patch_id=patch_id,
                base_version=current.version,
                changes=changes,
                author=self.name,
            )
            receipt = yield from self._call_until_available("global", submit)
            if isinstance(receipt, messages.PatchReceipt) and (
                receipt.state == "pending"
            ):
                approve = messages.ApprovePatch(
                    patch_id=patch_id, digest=receipt.digest, approver="legal"
                )
                receipt = yield from self._call_until_available(
                    "global", approve
                )
            # A resent patch that was overtaken by another one is void.
            if isinstance(receipt, messages.PatchReceipt) and (
                receipt.state == "approved"
            ):
                oracle.record_approval(patch_id, receipt.version)
                on_approved(receipt.version)
                return
            oracle.record_refusal(patch_id)
            yield self.sleep(self.engine.random.randint(1, RETRY_MS))
