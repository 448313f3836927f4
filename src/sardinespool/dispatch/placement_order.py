"""Order in which a planning pass places the ready steps."""

from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterator

from sardinespool.clock import Instant
from sardinespool.dispatch.congestion_log import CongestionLog
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.step_priority import congested_queues
from sardinespool.dispatch.step_priority import first_round_size
from sardinespool.dispatch.step_priority import step_priority
from sardinespool.dispatch.step_priority import StepPriority
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.table import StepKey

SERVING_BATCH_WINDOW_MS = 300
"""Delay of a new serving step, so that steps submitted together are placed
together; serving tasks run for a minute or longer."""
STARVED_WAIT_MS = 1_500
"""Wait after which a step without any run may start on any worker."""
STARVED_RESERVED_MAX = 0.6
"""Reserved share of all processors below which a starved step may start where
it interferes; from this share on, it keeps waiting for a suitable worker."""
OVERDUE_WAIT_MS = 2_000
"""Wait after which a long-running step is overdue: it precedes short tasks,
may take the last free slot, and may start on a worker that was set aside. Its
callers count it as missing after 6 s."""


class PlacementOrder:
    """Orders the ready steps, and knows how long each has waited.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    fleet : Fleet
        Workers.

    Attributes
    ----------
    congestion : CongestionLog
        Congested queues.
    """

    def __init__(self, machine: ControlMachine, fleet: Fleet) -> None:
        self._machine = machine
        self._fleet = fleet
        self._waiting_since: dict[StepKey, int] = {}
        self.congestion = CongestionLog()

    def reset(self) -> None:
        """Clear the state of earlier passes."""
        self._waiting_since.clear()
        self.congestion = CongestionLog()

    def retain(self, ready: Container[StepKey]) -> None:
        """Forget since when the steps that are not ready have waited."""
        self._waiting_since = {
            key: since
            for key, since in self._waiting_since.items()
            if key in ready
        }

    def awaits_batch(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a new serving step waits for others of its image.

        Jobs that are submitted together are placed image by image.
        """
        return (
            bool(step.spec.tail_latency_target_ms)
            and self._waited_ms(step, now) < SERVING_BATCH_WINDOW_MS
            and not any(task.run for task in step.tasks)
        )

    def is_overdue(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a long-running step has waited too long.

        While short tasks keep a fleet full, they take all room that becomes
        free, and a long-running task behind them would never start.
        """
        return (
            self._waited_ms(step, now) > OVERDUE_WAIT_MS
            and step.spec.long_running
        )

    def is_starved(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a step without any run has waited too long."""
        return (
            self._waited_ms(step, now) > STARVED_WAIT_MS
            and len(step.waiting) == step.remaining
            and self._fleet.reserved_share() < STARVED_RESERVED_MAX
        )

    def steps(
        self, steps: Collection[StepRecord], now: Instant
    ) -> Iterator[tuple[StepRecord, int]]:
        """Yield steps in placement order, each with a limit of placed tasks.

        Long-running steps appear twice: each gets half of its tasks before
        any gets the rest, as partial service is better than none.
        """
        queues = [
            (step, self._machine.current_queue(step.workflow))
            for step in steps
        ]
        congested = congested_queues(queues, now.unix_ms)
        self.congestion.update(
            congested, self._machine.table.waiting_counts(), now
        )
        entries: list[tuple[StepPriority, StepRecord, int]] = []
        for step, queue in queues:
            first_size = first_round_size(step)
            rounds = (
                (first_size,)
                if first_size == step.spec.count
                else (first_size, step.spec.count)
            )
            for round_, tasks_max in enumerate(rounds):
                priority = step_priority(
                    step,
                    queue,
                    now.unix_ms,
                    round_,
                    self.is_overdue(step, now),
                    queue.name in congested,
                )
                entries.append((priority, step, tasks_max))
        entries.sort(key=lambda entry: entry[0])
        for _, step, tasks_max in entries:
            yield step, tasks_max

    def _waited_ms(self, step: StepRecord, now: Instant) -> int:
        return now.boot_ms - self._waiting_since.setdefault(
            step.key, now.boot_ms
        )
