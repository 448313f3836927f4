"""Tests of callers' requests while a front process shuts down."""

import asyncio
import contextlib
import pathlib
import signal

import pytest

from sardinespool.clock import Instant
from sardinespool.errors import SardinespoolError
from sardinespool.messages.codec import Reply
from sardinespool.messages.codec import Request
from sardinespool.messages.workflows import ReadWorkflow
from sardinespool.messages.workflows import WorkflowStatus
from sardinespool.platform.front_process import FrontProcess
from sardinespool.platform.settings import Listen
from sardinespool.platform.settings import PlatformSettings
from sardinespool.transport import system_clock
from testing.entry.scripted_server import run_async
from testing.platform.front_subprocess import Front
from testing.platform.front_subprocess import running_front

CALLERS = 4
LEADER_DELAY_S = 0.05
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP)


async def answer_late(request: Request) -> Reply:
    await asyncio.sleep(LEADER_DELAY_S)
    return WorkflowStatus(job_id="", state="running")


async def never_answer(request: Request) -> Reply:
    await asyncio.Event().wait()
    raise AssertionError


def get(path: str, timeout_ms: int = 3_000) -> bytes:
    return (
        f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Sardinespool-Request-Deadline: {timeout_ms}\r\n\r\n"
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return a whole answer; raise `IncompleteReadError` if it is cut."""
    head = await reader.readuntil(b"\r\n\r\n")
    _, _, rest = head.partition(b"Content-Length: ")
    return head + await reader.readexactly(int(rest.split()[0]))


async def call_until_gone(front: Front, name: str, answered: set[str]) -> None:
    """Send one request after the other on open connections."""
    number = 0
    while True:
        try:
            reader, writer = await front.connect()
        except OSError:
            return
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            closes = False
            while not closes:
                number += 1
                path = f"/q/{name}-{number}"
                writer.write(get(path))
                answer = await read_answer(reader)
                assert answer.startswith(b"HTTP/1.1 200 ")
                answered.add(path)
                closes = b"Connection: close" in answer
        writer.close()


@run_async
async def test_request_that_was_passed_on_is_answered(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against requests that are cut while a front stops."""
    async with running_front(tmp_path, 6, answer_late) as front:
        answered: set[str] = set()
        callers = [
            asyncio.create_task(call_until_gone(front, str(number), answered))
            for number in range(CALLERS)
        ]
        await front.leader.arrived.wait()
        for signal_number in SIGNALS:
            front.process.send_signal(signal_number)
            await asyncio.sleep(2 * LEADER_DELAY_S)
        assert await front.process.wait() == 0
        await asyncio.gather(*callers)
        passed_on = {
            request.path
            for request in front.leader.received
            if isinstance(request, ReadWorkflow)
        }
        assert len(answered) > CALLERS
        assert passed_on - answered == set()


@run_async
async def test_call_ends_within_the_grace(tmp_path: pathlib.Path) -> None:
    """Guards against a request that is cut by SIGKILL, before its timeout."""
    async with running_front(tmp_path, 3, never_answer) as front:
        reader, writer = await front.connect()
        front.process.terminate()
        await front.wait_for_readiness(503)
        stopping_unix_ms = system_clock.now().unix_ms
        writer.write(get("/q/1"))
        answer = await read_answer(reader)
        assert answer.startswith(b"HTTP/1.1 504 ")
        assert b"Connection: close" in answer
        assert front.leader.deadlines_unix_ms[0] <= stopping_unix_ms + 2_500
        assert await front.process.wait() == 0
        writer.close()


@pytest.mark.parametrize(
    ("grace_s", "elapsed_ms", "timeout_ms", "expected_ms"),
    [
        (6, 0, 2_980, 2_980),
        (6, 2_020, 2_980, 2_980),
        (6, 2_021, 2_980, 2_979),
        (6, 4_000, 500, 500),
        (6, 4_999, 500, 1),
        (6, 5_000, 500, 0),
        (6, 9_000, 500, 0),
        (3, 0, 2_980, 2_500),
    ],
)
def test_timeout_of_a_call_ends_with_the_grace(
    monkeypatch: pytest.MonkeyPatch,
    grace_s: float,
    elapsed_ms: int,
    timeout_ms: int,
    expected_ms: int,
) -> None:
    """Guards against a call that outlives the process."""
    process = FrontProcess(
        PlatformSettings(
            node="front-1",
            role="front",
            ip="127.0.0.1",
            failure_domain="norte",
            listen=Listen(),
            internal_ports=(7700, 7701),
            seeds=(),
            bounds={"grace_s": grace_s},
        )
    )
    now = system_clock.now()
    monkeypatch.setattr(system_clock, "now", lambda: now)
    timeouts_ms = []

    searches_ms = []

    async def record_call(
        request: Request, deadline_unix_ms: int, search_deadline_unix_ms: int
    ) -> Reply:
        timeouts_ms.append(deadline_unix_ms - now.unix_ms)
        searches_ms.append(search_deadline_unix_ms - now.unix_ms)
        raise SardinespoolError("recorded")

    monkeypatch.setattr(process._client, "call", record_call)
    process.begin_shutdown()
    now = Instant(now.boot_ms + elapsed_ms, now.unix_ms + elapsed_ms)
    with pytest.raises(SardinespoolError):
        asyncio.run(
            process.call_for_caller(ReadWorkflow(host="", path=""), timeout_ms)
        )
    assert timeouts_ms == [expected_ms]
    # The caller hears that there is no leader in the first half of its time.
    assert 0 <= searches_ms[0] <= expected_ms / 2
