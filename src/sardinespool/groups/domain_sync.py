"""Synchronisation of a domain group with the global group."""

from sardinespool.groups.domain_machine import DomainMachine
from sardinespool.messages.commands import AcceptJobs
from sardinespool.messages.commands import AdoptConfiguration
from sardinespool.messages.commands import CommandBody
from sardinespool.messages.commands import ConfirmGroup
from sardinespool.messages.commands import JobsRecorded
from sardinespool.messages.configuration import ProcessVersion
from sardinespool.messages.jobs import DomainSync
from sardinespool.messages.jobs import SyncDomain
from sardinespool.tasks.jobs import is_release_unrecorded
from sardinespool.tasks.jobs import released_jobs


def sync_request(
    machine: DomainMachine, processes: tuple[ProcessVersion, ...]
) -> SyncDomain:
    """Return the report to the global group."""
    return SyncDomain(
        failure_domain=machine.failure_domain,
        group_incarnation=machine.group_incarnation,
        known_version=machine.configuration.version,
        known_job_sequence=machine.known_job_sequence,
        finished_jobs=tuple(sorted(machine.tasks.finished_jobs)),
        released_jobs=released_jobs(machine.tasks),
        processes=processes,
    )


def commands_for_reply(
    machine: DomainMachine, reply: DomainSync
) -> list[CommandBody]:
    """Return the commands that the global group's reply requires.

    Recorded releases precede job changes, because a change may assign a
    released job to this domain again.
    """
    commands: list[CommandBody] = []
    if not machine.confirmed:
        commands.append(ConfirmGroup(reformed=reply.reformed))
    if (
        reply.configuration is not None
        and reply.configuration.version > machine.configuration.version
    ):
        commands.append(AdoptConfiguration(configuration=reply.configuration))
    finished = tuple(
        job_id
        for job_id in reply.recorded_finished_jobs
        if job_id in machine.tasks.finished_jobs
    )
    released = tuple(
        release
        for release in reply.recorded_released_jobs
        if is_release_unrecorded(machine.tasks, release)
    )
    if finished or released:
        commands.append(
            JobsRecorded(finished_jobs=finished, released_jobs=released)
        )
    changes = tuple(
        change
        for change in reply.job_changes
        if change.sequence > machine.known_job_sequence
    )
    if changes:
        commands.append(AcceptJobs(changes=changes))
    return commands
