"""Tests of operators' and workers' requests through an entry."""

import msgspec
import pytest

from sardinespool.messages import configuration as c
from sardinespool.messages import jobs as j
from sardinespool.messages import tasks as t
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.commands import Refused
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from testing.entry.harness import running_entry
from testing.entry.scripted_server import run_async

RECEIPT = c.PatchReceipt(
    patch_id="p/1", digest="d", state="pending", base_version=3
)
JOB_RECEIPT = j.JobReceipt(
    job_id="j1", failure_domain="centro", state="assigned"
)
JOB = j.Job(job_id="j1", team="t")
CHANGE = c.Change(op="remove", key="limits/a")
PATCH = {
    "patch_id": "p/1",
    "base_version": 3,
    "changes": [CHANGE],
    "author": "somebody-else",
}
SUBMITTED = c.SubmitPatch(
    patch_id="p/1", base_version=3, changes=(CHANGE,), author="operator-1"
)
APPROVED = c.ApprovePatch(patch_id="p/1", digest="d", approver="approver-1")
APPROVAL = {"digest": "d", "approver": "x"}
REJECTED = c.RejectPatch(patch_id="p/1", rejecter="approver-1")
STATUS = c.ConfigurationStatusReply(version=3, domains=())
TASKS = t.TaskList(tasks=())
WORKERS = t.WorkerList(workers=())
RESTRICTED = t.RestrictStarts(operator="operator-1")
DUMP = StateDump(json=b"{}")


@pytest.mark.parametrize(
    ("line", "body", "sent", "reply"),
    [
        ("POST patches", PATCH, SUBMITTED, RECEIPT),
        ("POST patches/p%2F1/approve", APPROVAL, APPROVED, RECEIPT),
        ("POST patches/p%2F1/reject", {}, REJECTED, RECEIPT),
        ("GET patches", None, c.ListPatches(), c.PatchList(patches=())),
        ("GET configuration", None, c.ReadConfiguration(), c.Configuration()),
        (
            "GET versions?after=7",
            None,
            c.ListVersions(after_version=7),
            c.VersionList(versions=()),
        ),
        ("GET status", None, c.ConfigurationStatus(), STATUS),
        ("POST jobs", JOB, j.SubmitJob(job=JOB), JOB_RECEIPT),
        ("GET jobs", None, j.ListJobs(), j.JobList(jobs=())),
        ("POST jobs/j1/cancel", {}, j.CancelJob(job_id="j1"), JOB_RECEIPT),
        (
            "GET tasks?job=j1&failure_domain=norte",
            None,
            t.ListTasks(job_id="j1"),
            TASKS,
        ),
        ("GET workers?failure_domain=norte", None, t.ListWorkers(), WORKERS),
        ("POST failure-domains/norte/restrict", {}, RESTRICTED, t.Accepted()),
        ("GET dump?group=norte", None, DumpState(), DUMP),
    ],
)
@run_async
async def test_request_reaches_group_with_name_of_credential(
    line: str, body: object, sent: Request, reply: Reply
) -> None:
    """Guards against taking the author or approver from the body."""
    method, _, path = line.partition(" ")
    data = b"" if body is None else msgspec.json.encode(body)
    role = "approver" if path.startswith("patches/") else "operator"
    async with running_entry() as entry:
        group = entry.other_group if "norte" in path else entry.global_group
        group.replies[type(sent)] = reply
        target = f"/v1/operator/{path}"
        answer = await entry.fetch(method, target, data, token=role)
        assert answer.status == 200
        assert msgspec.convert(answer.json(), type(reply)) == reply
        assert group.received[-1] == sent
        denied = await entry.fetch(method, target, data, token="caller")
        assert denied.status == 403


@pytest.mark.parametrize(
    ("method", "path", "token", "status", "code"),
    [
        ("POST", "patches/p1/approve", "operator", 403, "permission-denied"),
        ("POST", "patches", "approver", 403, "permission-denied"),
        ("POST", "patches", "operator", 400, "invalid-message"),
        ("GET", "versions?after=-1", "operator", 400, "invalid-message"),
        ("GET", "nothing", "operator", 404, "path-not-found"),
        ("DELETE", "patches", "operator", 405, "method-not-allowed"),
        ("GET", "dump?group=none", "operator", 503, "no-failure-domain"),
    ],
)
@run_async
async def test_refusals_are_typed(
    method: str, path: str, token: str, status: int, code: str
) -> None:
    """Guards against approval by an operator and untyped errors."""
    async with running_entry() as entry:
        answer = await entry.fetch(method, f"/v1/operator/{path}", token=token)
        assert (answer.status, answer.json()["code"]) == (status, code)
        assert answer.outcome == "not-run"


@run_async
async def test_group_refusal_and_outage_have_distinct_outcomes() -> None:
    """Guards against "not run" for a patch that may be stored."""
    async with running_entry() as entry:
        body = msgspec.json.encode(PATCH)
        entry.global_group.replies[c.SubmitPatch] = Refused(
            code="version-conflict", text="x", details={"current": 4}
        )
        target = "/v1/operator/patches"
        answer = await entry.fetch("POST", target, body, token="operator")
        assert (answer.status, answer.outcome) == (409, "not-run")
        assert answer.json()["details"] == {"current": 4}
        entry.global_group.reachable = False
        answer = await entry.fetch("POST", target, body, token="operator")
        assert (answer.status, answer.outcome) == (503, "unknown")


@run_async
async def test_list_fails_if_a_domain_is_unreachable() -> None:
    """Guards against a list that omits an unreachable domain."""
    async with running_entry() as entry:
        for group in (entry.own_group, entry.other_group):
            group.replies[t.ListTasks] = t.TaskList(tasks=())
        target = "/v1/operator/tasks"
        answer = await entry.fetch("GET", target, token="operator")
        assert answer.status == 200
        entry.other_group.reachable = False
        answer = await entry.fetch("GET", target, token="operator")
        assert answer.status == 503


@pytest.mark.parametrize(
    ("domain", "token", "status"),
    [
        ("centro", "worker", 200),
        ("norte", "worker", 409),
        ("centro", "caller", 403),
    ],
)
@run_async
async def test_heartbeat_of_another_domain_is_refused(
    domain: str, token: str, status: int
) -> None:
    """Guards against registering a worker in the wrong failure domain."""
    heartbeat = t.Heartbeat(
        worker_id="w1",
        incarnation=2,
        failure_domain=domain,
        sent_unix_ms=1,
    )
    reply = t.HeartbeatReply(lease_deadline_unix_ms=5)
    untagged = msgspec.to_builtins(heartbeat)
    del untagged["type"]
    async with running_entry() as entry:
        entry.own_group.replies[t.Heartbeat] = reply
        for body in (heartbeat, untagged):
            answer = await entry.fetch(
                "POST",
                "/v1/heartbeat",
                msgspec.json.encode(body),
                token=token,
            )
            assert answer.status == status
            if status == 200:
                decoded = msgspec.json.decode(
                    answer.body, type=t.HeartbeatReply
                )
                assert decoded == reply
                assert entry.own_group.received[-1] == heartbeat


@run_async
async def test_status_routes() -> None:
    """Guards against a public dump and probes that require a token."""
    async with running_entry(["127.0.0.1:9"]) as entry:
        for path in ("/health", "/ready", "/metrics"):
            answer = await entry.fetch("GET", path, token="")
            assert answer.status == 200
        for token, status in (("", 401), ("caller", 403)):
            answer = await entry.fetch("GET", "/dump", token=token)
            assert answer.status == status
        metrics = (await entry.fetch("GET", "/metrics")).body
        assert b"sardinespool_entry_configuration_version" in metrics
        dump = (await entry.fetch("GET", "/dump", token="operator")).json()
        assert dump["configuration_version"] == 3
        assert dump["endpoints"]["w0"]["usable_slots"] == 4
        listed = await entry.fetch(
            "GET", "/v1/operator/endpoints", token="operator"
        )
        (endpoint,) = listed.json()["endpoints"]
        assert endpoint["address"] == "127.0.0.1:9"
