"""Tests of the tasks that send lease renewals and orders to a worker."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from sardinespool.dispatch.dispatcher import Dispatcher
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.orders import Order
from sardinespool.dispatch.orders import OrderDone
from sardinespool.dispatch.run_state import RunPhase
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.messages.worker_reports import ReportWorker
from sardinespool.messages.workflows import StepSpec
from sardinespool.observability.metrics import Metrics
from sardinespool.programs.controller import worker_senders
from sardinespool.programs.controller.worker_senders import WorkerSender
from sardinespool.transport import system_clock
from testing.dispatch.support import add_running
from testing.dispatch.support import make_worker


class FailingDispatcher:
    """Raises an exception for the first answers to lease renewals."""

    def __init__(self, failing_answers: int = 1) -> None:
        self._failing_answers = failing_answers
        description = SimpleNamespace(incarnation=1)
        worker = SimpleNamespace(
            description=description, reconciled=True, answered=True
        )
        self.fleet = SimpleNamespace(workers={"w": worker})
        self.orders = SimpleNamespace(
            next_lease_renewal=lambda worker_id, now: SimpleNamespace(
                wait_ms=0
            ),
            next_order=lambda worker_id, now: None,
            ms_until_next_order=lambda worker_id, now: None,
        )
        self.has_work = False
        self.answer_count = 0
        self.handled_answer = asyncio.Event()

    def handle_renewal_result(self, *_: Any) -> None:
        self.answer_count += 1
        if self.answer_count <= self._failing_answers:
            raise ZeroDivisionError
        self.handled_answer.set()


class AnsweringCaller:
    """Answers each lease renewal immediately."""

    async def renew_lease(self, *_: Any) -> LeaseRenewed:
        await asyncio.sleep(0)
        return LeaseRenewed(1, 1, (), ())

    def close_connections(self, worker_id: str) -> None:
        """Do nothing."""


def test_holds_continue_after_exception_in_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lease renewals that stop without a log line.

    An exception while an answer is handled must be logged, and lease renewals
    must continue; otherwise the leases of the worker's runs expire.
    """
    log_fields: list[dict[str, Any]] = []
    monkeypatch.setattr(
        worker_senders._LOG,
        "error",
        lambda event, **fields: log_fields.append(fields),
    )
    monkeypatch.setattr(worker_senders, "ERROR_RETRY_DELAY_MS", 0)

    async def run() -> None:
        dispatcher = FailingDispatcher()
        sender = WorkerSender(
            "w",
            dispatcher,  # type: ignore[arg-type]
            AnsweringCaller(),  # type: ignore[arg-type]
            DispatchSettings(),
            lambda: True,
            lambda: None,
        )
        await dispatcher.handled_answer.wait()
        sender.close()

    asyncio.run(run())
    assert len(log_fields) == 1
    assert log_fields[0]["worker"] == "w"
    assert "ZeroDivisionError" in log_fields[0]["fault"]


def test_holds_continue_after_lapse_of_leader_lease() -> None:
    """Guards against lease renewals that stop when the lease lapses briefly.

    Nothing wakes the sender when this member's own lease is valid again; the
    leases of the worker's runs would expire unnoticed.
    """
    checks = iter([False])

    async def run() -> None:
        dispatcher = FailingDispatcher(failing_answers=0)
        sender = WorkerSender(
            "w",
            dispatcher,  # type: ignore[arg-type]
            AnsweringCaller(),  # type: ignore[arg-type]
            DispatchSettings(),
            lambda: next(checks, True),
            lambda: None,
        )
        # The first check is that of the task that sends lease renewals.
        async with asyncio.timeout(5):
            await dispatcher.handled_answer.wait()
        sender.close()

    asyncio.run(run())


def test_lapsed_lease_does_not_wake_the_order_tasks_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two busy loops a worker while no order may be sent."""
    lease_checks = 0

    def is_leading() -> bool:
        nonlocal lease_checks
        lease_checks += 1
        return False

    async def run() -> None:
        dispatcher = FailingDispatcher()
        dispatcher.orders.ms_until_next_order = lambda worker_id, now: 1
        sender = WorkerSender(
            "w",
            dispatcher,  # type: ignore[arg-type]
            AnsweringCaller(),  # type: ignore[arg-type]
            DispatchSettings(retry_ms=60_000),
            is_leading,
            lambda: None,
        )
        for _ in range(50):
            await asyncio.sleep(0.002)
        sender.close()

    asyncio.run(run())
    # One task for lease renewals and one for each order connection.
    assert lease_checks == 1 + worker_senders.ORDER_CONNECTIONS_PER_WORKER


class RaisingCaller:
    """Raises in the first calls of each kind, then answers them.

    Attributes
    ----------
    raising_calls : int
        Number of calls of each kind that raise.
    """

    def __init__(self, raising_calls: int) -> None:
        self.raising_calls = raising_calls
        self.renewals = 0
        self.orders: list[Order] = []

    async def renew_lease(self, *_: Any) -> LeaseRenewed:
        self.renewals += 1
        await asyncio.sleep(0.001)
        if self.renewals <= self.raising_calls:
            raise RecursionError
        return LeaseRenewed(1, 1, (), ())

    async def order(
        self, worker: Any, connection_index: int, order: Order, *_: Any
    ) -> OrderDone:
        self.orders.append(order)
        await asyncio.sleep(0.001)
        if len(self.orders) <= self.raising_calls:
            raise RecursionError
        return OrderDone(1)

    def close_connections(self, worker_id: str) -> None:
        """Do nothing."""


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("the condition never became true")


def dispatcher_with_ordered_run() -> Dispatcher:
    """Return a dispatcher that has a start to send to worker ``w``."""
    settings = DispatchSettings(retry_ms=1)
    dispatcher = Dispatcher(
        ControlMachine(),
        settings,
        lambda worker_id: None,
        DispatchMetrics(Metrics("controller", "a")),
    )
    dispatcher.orders.fencing_token = 1
    worker = make_worker("w", 4_000)
    worker.reconciled = worker.answered = True
    worker.clock.read(1, system_clock.now().boot_ms)
    run = add_running(worker, StepSpec(count=1), "j")
    run.phase = RunPhase.ORDERED
    worker.pending[run.key] = run
    dispatcher.fleet.workers["w"] = worker
    # A start is sent only on a recent heartbeat.
    dispatcher.handle_heartbeat(
        ReportWorker(description=worker.description, sequence=1, clock_ms=1),
        system_clock.now(),
    )
    return dispatcher


def make_sender(dispatcher: Dispatcher, caller: RaisingCaller) -> WorkerSender:
    """Return the sender of worker ``w``, whose member leads."""
    return WorkerSender(
        "w",
        dispatcher,
        caller,  # type: ignore[arg-type]
        DispatchSettings(retry_ms=1),
        lambda: True,
        lambda: None,
    )


def test_order_is_sent_again_after_exception_in_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that stays in flight for good.

    Its task would neither run nor be placed elsewhere.
    """
    log_fields: list[dict[str, Any]] = []
    monkeypatch.setattr(
        worker_senders._LOG,
        "error",
        lambda event, **fields: log_fields.append(fields),
    )
    dispatcher = dispatcher_with_ordered_run()
    (run,) = dispatcher.fleet.workers["w"].runs.values()
    caller = RaisingCaller(raising_calls=2)
    # The renewals would find that the run is not on the worker.
    dispatcher.orders.next_lease_renewal = (  # type: ignore[method-assign]
        lambda worker_id, now: None
    )

    async def run_sender() -> None:
        sender = make_sender(dispatcher, caller)
        await wait_until(lambda: run.phase is RunPhase.RUNNING)
        sender.close()

    asyncio.run(run_sender())
    assert len(caller.orders) == 3
    assert not run.in_flight
    # Both calls without an answer may have started the run.
    assert run.unanswered == 2
    assert len(log_fields) == 2
    assert "RecursionError" in log_fields[0]["fault"]


def test_worker_whose_renewals_raise_does_not_count_as_answering() -> None:
    """Guards against runs that are taken for running after their lease.

    Their leases expire, as no renewal arrives, while the worker seems to
    answer.
    """
    dispatcher = dispatcher_with_ordered_run()
    worker = dispatcher.fleet.workers["w"]
    worker.runs.clear()
    worker.pending.clear()
    worker.reconciled = False
    dispatcher.fleet.heartbeat_boot_ms["w"] = system_clock.now().boot_ms
    caller = RaisingCaller(raising_calls=3)

    async def run_sender() -> None:
        sender = make_sender(dispatcher, caller)
        await wait_until(lambda: not worker.answered)
        await wait_until(lambda: worker.answered)
        sender.close()

    asyncio.run(run_sender())
    assert caller.renewals >= 4
    assert worker.reconciled


class TimingCaller(AnsweringCaller):
    """Records the time limit of each lease renewal."""

    def __init__(self) -> None:
        self.timeouts_ms: list[int] = []

    async def renew_lease(self, *arguments: Any) -> LeaseRenewed:
        self.timeouts_ms.append(arguments[2])
        return await super().renew_lease()


@pytest.mark.parametrize(
    ("answered", "reconciled", "timeout_ms"),
    [(True, True, 500), (False, True, 1_500), (False, False, 500)],
)
def test_silent_worker_gets_the_time_of_a_long_poll(
    answered: bool, reconciled: bool, timeout_ms: int
) -> None:
    """Guards against a slow worker that loses its lease though it answers."""
    caller = TimingCaller()

    async def run() -> None:
        dispatcher = FailingDispatcher(failing_answers=0)
        worker = dispatcher.fleet.workers["w"]
        worker.answered = answered
        worker.reconciled = reconciled
        sender = WorkerSender(
            "w",
            dispatcher,  # type: ignore[arg-type]
            caller,  # type: ignore[arg-type]
            DispatchSettings(order_timeout_ms=500, renewal_wait_ms=1_000),
            lambda: True,
            lambda: None,
        )
        async with asyncio.timeout(5):
            await dispatcher.handled_answer.wait()
        sender.close()

    asyncio.run(run())
    assert caller.timeouts_ms[0] == timeout_ms
