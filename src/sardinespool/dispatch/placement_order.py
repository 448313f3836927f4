"""Order in which a planning pass places the ready steps."""

from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Sequence

from sardinespool.clock import Instant
from sardinespool.dispatch.congestion_log import CongestionLog
from sardinespool.dispatch.congestion_log import UnloggedCongestion
from sardinespool.dispatch.fleet import Fleet
from sardinespool.dispatch.share_order import ShareOrder
from sardinespool.dispatch.step_priority import congested_queues
from sardinespool.dispatch.step_priority import first_round_size
from sardinespool.dispatch.step_priority import step_priority
from sardinespool.dispatch.step_priority import StepPriority
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.manifest import QueueSpec
from sardinespool.workflows.records import StepRecord
from sardinespool.workflows.table import StepKey
from sardinespool.workspaces.shares import Group

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
    shares : ShareOrder
        Shares of the workspaces.
    """

    def __init__(self, machine: ControlMachine, fleet: Fleet) -> None:
        self._machine = machine
        self._fleet = fleet
        self._waiting_since: dict[StepKey, int] = {}
        self._unplaced_since: dict[StepKey, int] = {}
        self.congestion = CongestionLog()
        self.shares = ShareOrder(machine, fleet.limits)

    def copy(self, machine: ControlMachine, fleet: Fleet) -> "PlacementOrder":
        """Return a copy for another pass, which writes no log lines."""
        order = PlacementOrder(machine, fleet)
        order._waiting_since.update(self._waiting_since)
        order._unplaced_since.update(self._unplaced_since)
        order.congestion = UnloggedCongestion()
        order.shares.lacked_room = self.shares.lacked_room
        return order

    def skip_batch_window(self, step: StepRecord, now: Instant) -> None:
        """Let a serving step not wait for others of its image."""
        self._waiting_since[step.key] = now.boot_ms - SERVING_BATCH_WINDOW_MS

    def reset(self) -> None:
        """Clear the state of earlier passes."""
        self._waiting_since.clear()
        self._unplaced_since.clear()
        self.congestion = CongestionLog()
        self.shares.lacked_room = False

    def retain(self, ready: Container[StepKey]) -> None:
        """Forget since when the steps that are not ready have waited."""
        self._waiting_since = {
            key: since
            for key, since in self._waiting_since.items()
            if key in ready
        }
        self.retain_unplaced(ready)

    def retain_unplaced(self, ready: Container[StepKey]) -> None:
        """Forget since when the steps that are not ready found no worker."""
        self._unplaced_since = {
            key: since
            for key, since in self._unplaced_since.items()
            if key in ready
        }

    def awaits_batch(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a new serving step waits for others of its image.

        Jobs that are submitted together are placed image by image.
        """
        return (
            bool(step.spec.tail_latency_target_ms)
            and self._waited_ms(step, now) < SERVING_BATCH_WINDOW_MS
            and not step.last_run
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

    def has_waited_long(self, step: StepRecord, now: Instant) -> bool:
        """Return whether a step has found no worker for too long.

        Unlike the wait by which steps are ordered, this one also begins anew
        when no step was ready in between.
        """
        since_boot_ms = self._unplaced_since.setdefault(step.key, now.boot_ms)
        return now.boot_ms - since_boot_ms > OVERDUE_WAIT_MS

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
        any gets the rest, as partial service is better than none. Steps that
        are not overdue are in the order of the shares of their workspaces, if
        these share the workers, and wide ones appear once for each slice.
        """
        queues = [
            (step, self._machine.current_queue(step.workflow))
            for step in steps
        ]
        names = congested_queues(queues, now.unix_ms)
        self.congestion.update(
            names, self._machine.table.waiting_counts(), now
        )
        step_groups = [self.shares.group_of(step) for step, _ in queues]
        congested = _congested_groups(queues, step_groups, names, now)
        entries: list[tuple[StepPriority, StepRecord, int, Group]] = []
        for (step, queue), group in zip(queues, step_groups, strict=True):
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
                    (group, queue.name) in congested,
                )
                entries.append((priority, step, tasks_max, group))
        entries.sort(key=lambda entry: entry[0])
        shared: list[tuple[Group, tuple[StepRecord, int]]] = []
        for priority, step, tasks_max, group in entries:
            if self.shares.applies and priority.awaits:
                shared.append((group, (step, tasks_max)))
            else:
                yield step, tasks_max
        yield from self.shares.offers(shared)

    def _waited_ms(self, step: StepRecord, now: Instant) -> int:
        return now.boot_ms - self._waiting_since.setdefault(
            step.key, now.boot_ms
        )


def _congested_groups(
    queues: Sequence[tuple[StepRecord, QueueSpec]],
    step_groups: Sequence[Group],
    names: Container[str],
    now: Instant,
) -> set[tuple[Group, str]]:
    """Return which of the congested queues are so in each group of steps.

    A workspace that floods a queue must not reverse the order of the jobs
    that others sent to it.
    """
    groups: dict[Group, list[tuple[StepRecord, QueueSpec]]] = {}
    for member, group in zip(queues, step_groups, strict=True):
        if member[1].name in names:
            groups.setdefault(group, []).append(member)
    return {
        (group, name)
        for group, members in groups.items()
        for name in congested_queues(members, now.unix_ms)
    }
