"""Operator requests for jobs, tasks, workers and endpoints."""

import asyncio
from typing import Any
from typing import TypeVar

from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Request
from sardinespool.messages.dump import DumpState
from sardinespool.messages.dump import StateDump
from sardinespool.messages.jobs import CancelJob
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobList
from sardinespool.messages.jobs import JobReceipt
from sardinespool.messages.jobs import ListJobs
from sardinespool.messages.jobs import SubmitJob
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import ListTasks
from sardinespool.messages.tasks import ListWorkers
from sardinespool.messages.tasks import RestrictStarts
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import WorkerList
from sardinespool.programs.entry.groups import GLOBAL_GROUP
from sardinespool.programs.entry.operator_bodies import read_body
from sardinespool.programs.entry.operator_bodies import read_number
from sardinespool.programs.entry.operator_call import OperatorCall

R = TypeVar("R")


async def submit_job(call: OperatorCall) -> JobReceipt:
    """``POST jobs``: the body is the job."""
    job = SubmitJob(job=read_body(call.request, Job))
    return await call.call_group(GLOBAL_GROUP, job, JobReceipt)


async def list_jobs(call: OperatorCall) -> JobList:
    """``GET jobs?limit=``."""
    jobs = ListJobs(limit=read_number(call.query, "limit", 200))
    return await call.call_group(GLOBAL_GROUP, jobs, JobList)


async def cancel_job(call: OperatorCall) -> JobReceipt:
    """``POST jobs/<id>/cancel``."""
    cancellation = CancelJob(job_id=call.parameters[0])
    return await call.call_group(GLOBAL_GROUP, cancellation, JobReceipt)


async def list_tasks(call: OperatorCall) -> TaskList:
    """``GET tasks?job=&failure_domain=&limit=``."""
    job_id = call.query.get("job", "")
    tasks = ListTasks(
        job_id=job_id, limit=read_number(call.query, "limit", 1000)
    )
    lists = await _call_domains(call, tasks, TaskList, bool(job_id))
    merged = [task for each in lists for task in each.tasks]
    return TaskList(tasks=tuple(sorted(merged, key=lambda t: t.task_id)))


async def list_workers(call: OperatorCall) -> WorkerList:
    """``GET workers?failure_domain=``."""
    lists = await _call_domains(call, ListWorkers(), WorkerList, False)
    merged = [worker for each in lists for worker in each.workers]
    return WorkerList(workers=tuple(sorted(merged, key=lambda w: w.worker_id)))


async def list_endpoints(call: OperatorCall) -> dict[str, Any]:
    """``GET endpoints``: the endpoint table of this entry."""
    now = call.context.clock()
    return {
        "failure_domain": call.context.failure_domain,
        "table_version": call.context.table.table_version,
        "endpoints": [
            {
                "worker_id": state.endpoint.worker_id,
                "address": state.endpoint.address,
                "services": state.endpoint.services,
                "slots": state.endpoint.slots,
                "leaving": state.endpoint.leaving,
                "usable_slots": state.usable_slots(now),
                "outstanding": state.outstanding,
                "set_aside": state.is_ejected(now),
                "latency_ms": round(state.latency.value(), 3),
            }
            for state in call.context.table
        ],
    }


async def restrict_starts(call: OperatorCall) -> Accepted:
    """``POST failure-domains/<name>/restrict``."""
    restriction = RestrictStarts(operator=call.operator)
    return await call.call_group(call.parameters[0], restriction, Accepted)


async def dump_state(call: OperatorCall) -> Any:
    """``GET dump?group=``: state of a group, or of this entry."""
    group = call.query.get("group", "")
    if not group:
        return call.context.dump()
    return await call.call_group(group, DumpState(), StateDump)


async def _call_domains(
    call: OperatorCall,
    request: Request,
    reply_type: type[R],
    allow_partial: bool,
) -> list[R]:
    """Call the failure domain named in the query, or all of them.

    If a domain is unreachable the whole request fails, so that a list is
    never silently incomplete. With `allow_partial`, a list that is not empty
    is enough, since a job belongs to one failure domain.
    """
    domain = call.query.get("failure_domain", "")
    if domain:
        return [await call.call_group(domain, request, reply_type)]
    results = await asyncio.gather(
        *(
            call.call_group(name, request, reply_type)
            for name in call.context.groups.failure_domains
        ),
        return_exceptions=True,
    )
    lists: list[R] = []
    failure: BaseException | None = None
    for result in results:
        if isinstance(result, BaseException):
            failure = result
            if not isinstance(result, SardinespoolError):
                raise result
        else:
            lists.append(result)
    found = any(getattr(each, "tasks", ()) for each in lists)
    if failure is not None and not (allow_partial and found):
        raise failure
    return lists
