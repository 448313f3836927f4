"""Tasks that carry holds and orders to a worker."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from sardinespool.dispatch.orders import HoldDone
from sardinespool.dispatch.settings import DispatchSettings
from sardinespool.programs.controller import worker_links
from sardinespool.programs.controller.worker_links import WorkerLink


class FailingDispatcher:
    """Raises a fault for the first answer that it takes."""

    def __init__(self) -> None:
        description = SimpleNamespace(life=1)
        worker = SimpleNamespace(description=description)
        self.fleet = SimpleNamespace(workers={"w": worker})
        self.orders = SimpleNamespace(
            next_hold=lambda worker_id, now: SimpleNamespace(wait_ms=0),
            next_order=lambda worker_id, now: None,
            retry_due=lambda worker_id, now: None,
        )
        self.has_work = False
        self.answers = 0
        self.taken = asyncio.Event()

    def hold_answered(self, *_: Any) -> None:
        self.answers += 1
        if self.answers == 1:
            raise ZeroDivisionError
        self.taken.set()


class AnsweringCaller:
    """Answers each hold at once."""

    async def hold(self, *_: Any) -> HoldDone:
        await asyncio.sleep(0)
        return HoldDone(1, 1, (), ())

    def forget(self, worker_id: str) -> None:
        """Close nothing."""


def test_fault_in_an_answer_does_not_end_the_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a worker whose runs lapse after a fault, unlogged."""
    faults: list[dict[str, Any]] = []
    monkeypatch.setattr(
        worker_links._LOG, "error", lambda event, **ids: faults.append(ids)
    )
    monkeypatch.setattr(worker_links, "FAULT_PAUSE_MS", 0)

    async def run() -> None:
        dispatcher = FailingDispatcher()
        link = WorkerLink(
            "w",
            dispatcher,  # type: ignore[arg-type]
            AnsweringCaller(),  # type: ignore[arg-type]
            DispatchSettings(),
            lambda: True,
            lambda: None,
        )
        await dispatcher.taken.wait()
        link.close()

    asyncio.run(run())
    assert len(faults) == 1
    assert faults[0]["worker"] == "w"
    assert "ZeroDivisionError" in faults[0]["fault"]
