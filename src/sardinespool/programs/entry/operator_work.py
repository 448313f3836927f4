"""Operators' requests about jobs, tasks, workers and endpoints."""

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
    return await call.ask(GLOBAL_GROUP, job, JobReceipt)


async def list_jobs(call: OperatorCall) -> JobList:
    """``GET jobs?limit=``."""
    jobs = ListJobs(limit=read_number(call.query, "limit", 200))
    return await call.ask(GLOBAL_GROUP, jobs, JobList)


async def cancel_job(call: OperatorCall) -> JobReceipt:
    """``POST jobs/<id>/cancel``."""
    cancellation = CancelJob(job_id=call.parameters[0])
    return await call.ask(GLOBAL_GROUP, cancellation, JobReceipt)


async def list_tasks(call: OperatorCall) -> TaskList:
    """``GET tasks?job=&failure_domain=&limit=``."""
    job_id = call.query.get("job", "")
    tasks = ListTasks(
        job_id=job_id, limit=read_number(call.query, "limit", 1000)
    )
    lists = await _ask_domains(call, tasks, TaskList, bool(job_id))
    merged = [task for each in lists for task in each.tasks]
    return TaskList(tasks=tuple(sorted(merged, key=lambda t: t.task_id)))


async def list_workers(call: OperatorCall) -> WorkerList:
    """``GET workers?failure_domain=``."""
    lists = await _ask_domains(call, ListWorkers(), WorkerList, False)
    merged = [worker for each in lists for worker in each.workers]
    return WorkerList(workers=tuple(sorted(merged, key=lambda w: w.worker_id)))


async def list_endpoints(call: OperatorCall) -> dict[str, Any]:
    """``GET endpoints``: the entry's own table."""
    now = call.parts.clock()
    return {
        "failure_domain": call.parts.failure_domain,
        "table_version": call.parts.table.table_version,
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
            for state in call.parts.table
        ],
    }


async def restrict_starts(call: OperatorCall) -> Accepted:
    """``POST failure-domains/<name>/restrict``."""
    restriction = RestrictStarts(operator=call.operator)
    return await call.ask(call.parameters[0], restriction, Accepted)


async def dump_state(call: OperatorCall) -> Any:
    """``GET dump?group=``: a group's state, or the entry's own."""
    group = call.query.get("group", "")
    if not group:
        return call.parts.dump()
    return await call.ask(group, DumpState(), StateDump)


async def _ask_domains(
    call: OperatorCall,
    request: Request,
    reply_type: type[R],
    partial: bool,
) -> list[R]:
    """Ask the failure domain of the query, or all.

    If one can't be reached the whole request fails, so that a list is never
    silently short. With `partial`, an answer that is not empty is enough: a
    job has one home.
    """
    domain = call.query.get("failure_domain", "")
    if domain:
        return [await call.ask(domain, request, reply_type)]
    results = await asyncio.gather(
        *(
            call.ask(name, request, reply_type)
            for name in call.parts.groups.failure_domains
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
    if failure is not None and not (partial and found):
        raise failure
    return lists
