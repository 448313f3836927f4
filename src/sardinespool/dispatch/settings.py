"""Limits and timing of the dispatcher."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Timing and limits, in milliseconds of the boot clock.

    Attributes
    ----------
    lease_ms : int
        Lease granted with each start and lease renewal. It outlasts an
        election (1.5 s) and the first calls of the next leader; longer leases
        delay the restart of the tasks of a lost worker.
    lease_limit_ms : int
        Longest lease that a worker grants. It shortens a later lease end, such
        as one on the clock of its earlier incarnation.
    renewal_wait_ms : int
        Longest wait of a lease renewal. At most a third of the lease, so that
        two lease renewals may be lost before the lease ends.
    watch_wait_ms : int
        Longest wait of a lease renewal on a worker with both best-effort and
        serving tasks; tail latencies are measured every half second.
    order_timeout_ms : int
        Time after which a call counts as unanswered; a healthy worker in
        another failure domain answers within 5 ms.
    retry_ms : int
        Delay before an unanswered order is sent again.
    clock_rate_min : float
        Slowest rate of a worker's clock relative to the local clock.
    lease_margin_ms : int
        Safety margin added to the end of a lease before its runs count as
        ended.
    late_order_ms : int
        Longest delay after which an unanswered order may still take effect.
    heartbeat_age_max_ms : int
        Age of a worker's last heartbeat from which no task starts on it, as
        its capacity may have shrunk since.
    finished_job_retention_ms : int
        Retention time of the state of an ended job.
    remote_factor : float
        Run time of a task away from its data, as a multiple of that near it;
        1 if there is no difference, so that no task waits for a near worker.
    admission : bool
        Whether jobs that would end too late are refused, see `admission`.
    job_memory_limit_bytes, job_file_limit_bytes : int
        Size of the stored jobs in memory and in a snapshot from which on
        further jobs are refused, see `job_room`.
    """

    lease_ms: int = 4_000
    lease_limit_ms: int = 6_000
    renewal_wait_ms: int = 1_000
    watch_wait_ms: int = 500
    order_timeout_ms: int = 500
    retry_ms: int = 150
    clock_rate_min: float = 0.98
    lease_margin_ms: int = 100
    late_order_ms: int = 12_000
    heartbeat_age_max_ms: int = 3_500
    finished_job_retention_ms: int = 120_000
    remote_factor: float = 1.0
    admission: bool = False
    job_memory_limit_bytes: int = 268_435_456
    job_file_limit_bytes: int = 134_217_728
