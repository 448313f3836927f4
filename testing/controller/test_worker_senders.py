"""Tests of the tasks that send lease renewals and orders to a worker."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from sardinespool.dispatch.orders import LeaseRenewed
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.programs.controller import worker_senders
from sardinespool.programs.controller.worker_senders import WorkerSender


class FailingDispatcher:
    """Raises an exception for the first answers to lease renewals."""

    def __init__(self, failing_answers: int = 1) -> None:
        self._failing_answers = failing_answers
        description = SimpleNamespace(incarnation=1)
        worker = SimpleNamespace(description=description)
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
