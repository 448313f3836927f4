"""Learned run times of tasks, as distributions.

Load: callers declare run times that are off by a factor of e^0.2 to e^0.9 (one
standard deviation). The error is drawn once for a job, the tasks of a job
differ by 15 to 30%, and in some loads 3 of 100 tasks take seven times as long.
So the first ended tasks of a job tell most about the rest of it, and the jobs
of its class (queue, image and declared size) tell what to expect before.

The logarithm of actual over declared run time is the sum of the location of
the class, the error of the job and the deviation of the task, all normal; a
straggler adds a further term. Where the run times alone spread less than their
ratios to the declared ones, the declared time is left aside, and also if it is
far from all that the queue runs, or zero.

The classes are replicated in small (`RunTimeRecord`), so that the next leader
has them at once. What is known of single jobs is held by the leader and lost
with it.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable

from sardinespool.dispatch.moments import DecayedMoments
from sardinespool.dispatch.run_state import RunState
from sardinespool.dispatch.run_time_forecast import RunTimeForecast
from sardinespool.messages.estimates import RunTimeRecord
from sardinespool.messages.workflows import StepSpec

JOB_SPREAD_PRIOR = 0.6
"""Standard deviation of the error of a job; e^0.2 to e^0.9 were seen."""
TASK_SPREAD_PRIOR = 0.25
"""Standard deviation within a job; tasks of a job differ by 15 to 30%."""
TASK_PRIOR_WEIGHT = 8.0
STRAGGLER_SHARE_PRIOR = 0.03
STRAGGLER_PRIOR_WEIGHT = 100.0
"""Tasks that the prior of the share of stragglers is worth; a load without
any is then known after a dozen of jobs."""
STRAGGLER_LOG_PRIOR = math.log(7)
STRAGGLER_LOG_MIN = math.log(3)
"""Logarithm of the ratio to the other tasks of the job from which a task is a
straggler; four standard deviations of the ordinary spread."""
UNKNOWN_RUN_MS = 1_000
UNKNOWN_SPREAD = 1.5
"""Run time of a task without a usable declared time in a queue of which
nothing is known, and its standard deviation as a logarithm."""
CREDIBLE_LOG = math.log(100)
"""Declared times further than this from the typical run time of the queue are
not used; e^0.9 is exceeded by this factor in none of a million jobs."""
CREDIBLE_JOBS_MIN = 8.0
"""Jobs from which on the typical run time of a queue is known."""
OUTLIER_SPREADS = 3.0
"""Standard deviations beyond which the error of a job is not drawn towards
that of its class, and beyond which it moves the class no further."""
JOB_TASKS_MAX = 32
"""Ended tasks kept of a job; the error of the mean is then under 5%."""
JOBS_MAX = 4_000
"""Jobs of which ended tasks are kept; the earliest are dropped first."""
CLASSES_MAX = 512
RECORDED_CLASSES_MAX = 64
"""Classes that are replicated, those with most jobs first: 8 KB at most."""
WHOLE_QUEUE = -1
"""Size of the class that holds all jobs of a queue."""

ClassKey = tuple[str, str, int]


@dataclasses.dataclass(slots=True)
class _Job:
    """Ended tasks of a job.

    Attributes
    ----------
    deviations : list of float
        Logarithms of actual over expected run times, where the expected one
        is that of the class without the error of the job.
    core : list of float
        `deviations` without those of stragglers.
    entries : dict of ClassKey to (float, int, float or None)
        What the job has contributed to each class: the logarithm of its run
        time, the number of jobs of the class up to it, and the logarithm of
        the declared time, None if that is not used.
    """

    deviations: list[float]
    core: list[float]
    entries: dict[ClassKey, tuple[float, int, float | None]]


class _Class:
    """Distribution of the run times of a class of tasks."""

    __slots__ = (
        "location",
        "run_log",
        "straggler_count",
        "straggler_log",
        "task_count",
        "task_squares",
        "task_weight",
    )

    def __init__(self) -> None:
        self.location = DecayedMoments(JOB_SPREAD_PRIOR)
        self.run_log = DecayedMoments(JOB_SPREAD_PRIOR)
        self.task_squares = TASK_PRIOR_WEIGHT * TASK_SPREAD_PRIOR**2
        self.task_weight = TASK_PRIOR_WEIGHT
        self.straggler_count = STRAGGLER_SHARE_PRIOR * STRAGGLER_PRIOR_WEIGHT
        self.task_count = STRAGGLER_PRIOR_WEIGHT
        self.straggler_log = STRAGGLER_LOG_PRIOR

    @property
    def task_spread(self) -> float:
        return math.sqrt(self.task_squares / self.task_weight)

    @property
    def straggler_share(self) -> float:
        return self.straggler_count / self.task_count

    def typical_run(self) -> tuple[float, float]:
        """Return the location and spread of the run times alone."""
        return self.run_log.estimate(self.run_log.state[1])

    def add_task(self, deviation: float, others: int, straggles: bool) -> None:
        """Count an ended task by its deviation from the mean of others."""
        # The weights are bounded, so that a load that has changed is learned.
        if self.task_count >= 20 * STRAGGLER_PRIOR_WEIGHT:
            self.task_count /= 2
            self.straggler_count /= 2
        self.task_count += 1
        if straggles:
            self.straggler_count += 1
            self.straggler_log += 0.1 * (deviation - self.straggler_log)
            return
        if self.task_weight >= 100 * TASK_PRIOR_WEIGHT:
            self.task_weight /= 2
            self.task_squares /= 2
        self.task_weight += 1
        # The mean of the others is itself off by its standard error.
        self.task_squares += deviation**2 * others / (others + 1)


class RunTimes:
    """Learns run times from the ends of runs and predicts those to come."""

    def __init__(self) -> None:
        self._classes: dict[ClassKey, _Class] = {}
        self._jobs: dict[str, _Job] = {}

    def run_done(self, run: RunState, end_clock_ms: int) -> None:
        """Learn from a run that is done, if its duration is known.

        Parameters
        ----------
        run : RunState
            The run.
        end_clock_ms : int
            Reading of the worker's clock when it listed the end.
        """
        run_ms = run.measure_ms(end_clock_ms)
        if run_ms is not None and run.step is not None:
            workflow = run.step.workflow
            # Only what a near run would have taken compares between runs.
            run_ms = max(1, round(run_ms / run.slowdown))
            self.observe(
                workflow.job_id, workflow.queue.name, run.step.spec, run_ms
            )

    def observe(
        self, job_id: str, queue: str, spec: StepSpec, run_ms: int
    ) -> None:
        """Learn from a task that is done.

        Parameters
        ----------
        job_id : str
            Id of the job.
        queue : str
            Name of its queue.
        spec : StepSpec
            Step of the task.
        run_ms : int
            Duration of the run that did the whole task.
        """
        if spec.long_running or run_ms <= 0:
            return
        expected_log, job_spread = self._expect(queue, spec)
        run_log = math.log(run_ms)
        job = self._jobs.get(job_id)
        if job is None:
            job = self._jobs[job_id] = _Job([], [], {})
            while len(self._jobs) > JOBS_MAX:
                del self._jobs[next(iter(self._jobs))]
        if len(job.deviations) >= JOB_TASKS_MAX:
            return
        deviation = run_log - expected_log
        straggles = False
        if job.core:
            beyond = deviation - statistics.fmean(job.core)
            straggles = beyond > STRAGGLER_LOG_MIN
            for key in _class_keys(queue, spec):
                self._class(key).add_task(beyond, len(job.core), straggles)
        job.deviations.append(deviation)
        middle = statistics.median(job.deviations)
        job.core = [
            item
            for item in job.deviations
            if item <= middle + STRAGGLER_LOG_MIN
        ]
        if straggles:
            return
        error = statistics.fmean(job.core)
        limit = OUTLIER_SPREADS * job_spread
        error = max(-limit, min(limit, error))
        for key in _class_keys(queue, spec):
            self._update_class(key, job, spec, expected_log + error)

    def _update_class(
        self, key: ClassKey, job: _Job, spec: StepSpec, run_log: float
    ) -> None:
        """Add a job to a class, or move it there as more of its tasks end."""
        found = self._class(key)
        entry = job.entries.get(key)
        if entry is not None:
            earlier_log, number, declared_log = entry
            found.run_log.replace(earlier_log, run_log, number)
            if declared_log is not None:
                found.location.replace(
                    earlier_log - declared_log, run_log - declared_log, number
                )
            job.entries[key] = run_log, number, declared_log
            return
        declared_log = None
        found.run_log.add(run_log)
        if self._is_credible(key[0], spec.expected_run_ms):
            declared_log = math.log(spec.expected_run_ms)
            found.location.add(run_log - declared_log)
        job.entries[key] = run_log, found.run_log.count, declared_log

    def forecast(
        self, job_id: str, queue: str, spec: StepSpec
    ) -> RunTimeForecast:
        """Return the distribution of the run time of a task.

        Parameters
        ----------
        job_id : str
            Id of the job, which may be unknown.
        queue : str
            Name of its queue.
        spec : StepSpec
            Step of the task.
        """
        expected_log, job_spread = self._expect(queue, spec)
        found = self._nearest_class(queue, spec)
        task_spread = found.task_spread
        job = self._jobs.get(job_id)
        if job is not None and job.core:
            error = statistics.fmean(job.core)
            error_variance = task_spread**2 / len(job.core)
            if abs(error) <= OUTLIER_SPREADS * job_spread:
                weight = job_spread**2 / (job_spread**2 + error_variance)
                error *= weight
                error_variance *= weight
            expected_log += error
            job_spread = math.sqrt(error_variance)
        return RunTimeForecast(
            log_median_ms=expected_log,
            job_spread=job_spread,
            task_spread=task_spread,
            straggler_share=found.straggler_share,
            straggler_log=found.straggler_log,
        )

    def records(self) -> tuple[RunTimeRecord, ...]:
        """Return the classes that the next leader starts with."""
        classes = sorted(
            self._classes.items(),
            key=lambda item: (-item[1].run_log.weight, item[0]),
        )
        return tuple(
            RunTimeRecord(
                *key,
                *(
                    round(value, 4)
                    for value in (
                        *found.location.state,
                        *found.run_log.state,
                        found.task_spread,
                        found.straggler_share,
                        found.straggler_log,
                    )
                ),
            )
            for key, found in classes[:RECORDED_CLASSES_MAX]
        )

    def restore(self, records: Iterable[RunTimeRecord]) -> None:
        """Replace the classes by those of an earlier leader."""
        self._classes.clear()
        self._jobs.clear()
        for item in records:
            found = self._class((item.queue, item.image, item.size))
            found.location.restore(
                item.ratio_weight, item.ratio_log, item.ratio_variance
            )
            found.run_log.restore(
                item.run_weight, item.run_log, item.run_variance
            )
            found.task_squares = found.task_weight * item.task_spread**2
            found.straggler_count = found.task_count * item.straggler_share
            found.straggler_log = item.straggler_log

    def _class(self, key: ClassKey) -> _Class:
        found = self._classes.get(key)
        if found is None:
            found = self._classes[key] = _Class()
            if len(self._classes) > CLASSES_MAX:
                # Classes of single jobs come and go; queues are few.
                least = min(
                    (other for other in self._classes if other != key),
                    key=lambda other: (
                        other[2] == WHOLE_QUEUE,
                        self._classes[other].run_log.weight,
                    ),
                )
                del self._classes[least]
        return found

    def _nearest_class(self, queue: str, spec: StepSpec) -> _Class:
        """Return the class of a step, or that of its queue, or the prior."""
        own, whole = (
            self._classes.get(key) for key in _class_keys(queue, spec)
        )
        if own is not None and own.run_log.weight >= CREDIBLE_JOBS_MIN:
            return own
        return whole or own or _PRIOR

    def _is_credible(self, queue: str, declared_ms: int) -> bool:
        """Return whether a declared time tells anything of the run time."""
        if declared_ms <= 0:
            return False
        whole = self._classes.get((queue, "", WHOLE_QUEUE))
        if whole is None or whole.run_log.weight < CREDIBLE_JOBS_MIN:
            return True
        typical_log, spread = whole.typical_run()
        distance = abs(math.log(declared_ms) - typical_log)
        return distance <= CREDIBLE_LOG + 2 * spread

    def _expect(self, queue: str, spec: StepSpec) -> tuple[float, float]:
        """Return the location and spread of run times before any task ended.

        Both are of the logarithm of the run time in milliseconds.
        """
        own, whole = (
            self._classes.get(key) for key in _class_keys(queue, spec)
        )
        if not self._is_credible(queue, spec.expected_run_ms):
            if whole is None or not whole.run_log.weight:
                return math.log(UNKNOWN_RUN_MS), UNKNOWN_SPREAD
            return whole.typical_run()
        location, spread = 0.0, JOB_SPREAD_PRIOR
        if whole is not None:
            location, spread = whole.location.estimate()
        if own is not None:
            location, spread = own.location.estimate(location, spread)
        expected = math.log(spec.expected_run_ms) + location, spread
        # In many queues all jobs take about as long, whatever they declare.
        for found in (own, whole):
            if found is not None and found.run_log.weight >= CREDIBLE_JOBS_MIN:
                expected = min(
                    expected, found.typical_run(), key=lambda item: item[1]
                )
        return expected


def _class_keys(queue: str, spec: StepSpec) -> tuple[ClassKey, ClassKey]:
    """Return the class of a step, and that of its queue.

    A size spans a factor of four of the declared time.
    """
    size = max(0, spec.expected_run_ms).bit_length() // 2
    return (queue, spec.image, size), (queue, "", WHOLE_QUEUE)


_PRIOR = _Class()
