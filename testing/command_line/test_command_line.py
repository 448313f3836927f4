"""Tests of the command line against a fake entry."""

import dataclasses
import pathlib
import socket
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import yaml

from sardinespool.messages.configuration import Change
from sardinespool.messages.configuration import Configuration
from sardinespool.messages.configuration import ConfigurationStatusReply
from sardinespool.messages.configuration import DomainStatus
from sardinespool.messages.configuration import PatchList
from sardinespool.messages.configuration import PatchReceipt
from sardinespool.messages.configuration import PatchRecord
from sardinespool.messages.configuration import ProcessVersion
from sardinespool.messages.configuration import VersionList
from sardinespool.messages.configuration import VersionRecord
from sardinespool.messages.dump import StateDump
from sardinespool.messages.jobs import Job
from sardinespool.messages.jobs import JobList
from sardinespool.messages.jobs import JobReceipt
from sardinespool.messages.tasks import Accepted
from sardinespool.messages.tasks import TaskList
from sardinespool.messages.tasks import TaskView
from sardinespool.messages.tasks import WorkerList
from sardinespool.messages.tasks import WorkerView
from sardinespool.programs.command_line import jobs
from sardinespool.programs.command_line import views
from sardinespool.programs.command_line.main import main
from testing.command_line.fake_entry import Answer
from testing.command_line.fake_entry import FakeEntry
from testing.command_line.fake_entry import serve
from testing.command_line.fake_entry import TOKEN

DIGEST = "d" * 64
CHANGE = Change(op="set", key="limits/jobs", value=9)
PENDING = PatchReceipt(
    patch_id="p1", digest=DIGEST, state="pending", base_version=3
)
CONFIGURATION = Configuration(version=4, values={"limits/jobs": 5})
VERSION = VersionRecord(
    version=4,
    patch_id="p0",
    digest=DIGEST,
    author="ana",
    approver="luz",
    changes=(CHANGE,),
    approved_unix_ms=1_700_000_000_000,
)
WORKER = WorkerView(
    worker_id="w1",
    incarnation=1,
    failure_domain="sur",
    rack="r1",
    address="127.0.0.1:1",
    services=("enrolment",),
    slots=8,
    connections=64,
    processors_millicores=64_000,
    memory_mb=250_000,
    accelerators=0,
    leaving=True,
    lost=False,
    lease_deadline_unix_ms=0,
)


def make_task(state: Any) -> TaskView:
    return TaskView(
        task_id="j1/0", job=Job(job_id="j1", team="t"), state=state, attempt=2
    )


def status_answer(domain_version: int, process_version: int) -> Answer:
    process = ProcessVersion(
        name="e1", program="entry", version=process_version, reported_unix_ms=1
    )
    domain = DomainStatus(
        failure_domain="sur",
        version=domain_version,
        reported_unix_ms=1,
        in_service=False,
        processes=(process,),
    )
    return 200, ConfigurationStatusReply(version=4, domains=(domain,))


def job_list_answer(state: Any) -> Answer:
    receipt = JobReceipt(job_id="j1", failure_domain="sur", state=state)
    return 200, JobList(jobs=(receipt,))


ANSWERS: dict[str, list[Answer]] = {
    "GET patches": [
        (
            200,
            PatchList(
                patches=(
                    PatchRecord(
                        receipt=PENDING, author="ana", changes=(CHANGE,)
                    ),
                )
            ),
        )
    ],
    "POST patches": [(200, PENDING)],
    "POST patches/p1/approve": [(200, PENDING)],
    "POST patches/p1/reject": [(200, PENDING)],
    "GET configuration": [(200, CONFIGURATION)],
    "GET versions?after=0": [(200, VersionList(versions=(VERSION,)))],
    "GET versions?after=4": [(200, VersionList(versions=()))],
    "GET status": [status_answer(4, 4)],
    "POST jobs": [job_list_answer("assigned")],
    "GET jobs": [job_list_answer("finished")],
    "POST jobs/a%2Fb/cancel": [(200, {"job_id": "a/b"})],
    "GET tasks?job=j1": [(200, TaskList(tasks=(make_task("completed"),)))],
    "GET workers?failure_domain=sur": [(200, WorkerList(workers=(WORKER,)))],
    "GET endpoints": [(200, {"endpoints": [{"worker_id": "w1"}]})],
    "POST failure-domains/sur/restrict": [(200, Accepted())],
    "GET dump?group=sur": [(200, StateDump(json=b'{"term":7}'))],
}


@dataclasses.dataclass
class Result:
    """Exit code and output of one run of the program."""

    code: int
    out: str
    err: str


Run = Callable[..., Result]


@pytest.fixture
def run(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> Run:
    def _run(entries: list[str], *arguments: str) -> Result:
        file = tmp_path / "operator.yaml"
        file.write_text(yaml.safe_dump({"entries": entries, "token": TOKEN}))
        with pytest.raises(SystemExit) as caught:
            main([*arguments, "--settings", str(file)])
        captured = capsys.readouterr()
        return Result(int(caught.value.code or 0), captured.out, captured.err)

    return _run


def make_fake(**replaced: list[Answer]) -> FakeEntry:
    answers = {key: list(value) for key, value in ANSWERS.items()}
    for key, value in replaced.items():
        answers[key.replace("__", " ")] = value
    return FakeEntry(answers)


def unused_address() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


@pytest.mark.parametrize(
    ("arguments", "expected_texts"),
    [
        ("patch list", ["p1", "ana", "limits/jobs", DIGEST]),
        ("patch diff p1", ["limits/jobs", "changed", "5", "9"]),
        ("patch diff p0", ["limits/jobs", "changed"]),
        (f"patch approve p1 {DIGEST}", ["state: pending", "p1"]),
        ("patch reject p1", ["state: pending"]),
        ("patch submit --set limits/jobs=9", [DIGEST]),
        ("patch submit --remove limits/jobs --dry-run", ["removed"]),
        ("history", ["luz", "2023-11-14 22:13:20.000Z"]),
        ("status", ["current version: 4", "entry e1"]),
        ("status --wait 4", ["sur"]),
        ("domains list", ["sur", "out of service"]),
        ("domains drain sur", [DIGEST]),
        ("domains return sur", [DIGEST]),
        ("domains restrict sur", ["failure_domain: sur"]),
        ("jobs submit j1 --team t", ["j1"]),
        ("jobs list", ["j1", "finished"]),
        ("jobs cancel a/b", ["job_id: a/b"]),
        ("jobs wait j1", ["state: finished"]),
        ("tasks --job j1", ["j1/0", "completed"]),
        ("workers --failure-domain sur", ["w1", "leaving", "64.0"]),
        ("endpoints", ["w1"]),
        ("dump sur", ['"term": 7']),
        ("configuration show", ["version: 4", "limits/jobs", "5"]),
    ],
)
def test_command_prints_table_and_json(
    arguments: str, expected_texts: list[str], run: Run
) -> None:
    """Guards against a command without table output or with invalid JSON."""
    with serve(make_fake()) as entry:
        result = run([entry.address], *arguments.split())
        assert result.code == 0, result
        for text in expected_texts:
            assert text in result.out
        if arguments.startswith("dump"):
            return
        as_json = run([entry.address], *arguments.split(), "--json")
        assert as_json.code == 0
        msgspec.json.decode(as_json.out)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        ("patch submit", 2),
        ("patch submit --set limits/jobs", 2),
        ("patch submit --set limits/jobs={", 2),
        ("patch submit no-such-file", 2),
        ("jobs submit j1 --kind urgent", 2),
        ("jobs submit j1", 2),
        ("unknown", 2),
        (f"patch approve p9 {DIGEST}", 1),
        ("patch diff p9", 1),
        ("patch submit --set a=1 --dry-run --base 3", 1),
        ("status --wait 5 --timeout-s 0", 1),
        ("jobs wait j9", 1),
        ("domains drain surr", 1),
    ],
)
def test_exit_code(arguments: str, code: int, run: Run) -> None:
    """Guards against exit codes that do not tell refusals and usage apart."""
    with serve(make_fake()) as entry:
        assert run([entry.address], *arguments.split()).code == code


@pytest.mark.parametrize("command", ["drain", "return"])
def test_unknown_domain_is_rejected(command: str, run: Run) -> None:
    """Guards against a patch for a misspelt failure domain."""
    with serve(make_fake()) as entry:
        result = run([entry.address], "domains", command, "surr")
        assert "no-failure-domain" in result.err
        assert entry.posted_bodies("patches") == []


def test_version_option(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against ``--version`` that requires a command."""
    with pytest.raises(SystemExit) as caught:
        main(["--version"])
    assert not caught.value.code
    assert capsys.readouterr().out.startswith("sardinespool 0.")


def test_invalid_settings_exit_code(tmp_path: pathlib.Path) -> None:
    """Guards against invalid settings with the exit code of a refusal."""
    file = tmp_path / "operator.yaml"
    file.write_text("entries: []\n")
    with pytest.raises(SystemExit) as caught:
        main(["status", "--settings", str(file)])
    assert caught.value.code == 78


def test_refusal_keeps_code_and_details(run: Run) -> None:
    """Guards against losing the error code or details of a refusal."""
    refusal = {
        "code": "version-conflict",
        "text": "base 3 is old",
        "details": {"current_version": 4, "text": "x"},
    }
    with serve(make_fake(POST__patches=[(409, refusal)])) as entry:
        submit = ("patch", "submit", "--set", "limits/jobs=1")
        result = run([entry.address], *submit)
        assert result.code == 1
        assert "error (version-conflict): base 3 is old" in result.err
        assert "current_version: 4" in result.err
        answer = msgspec.json.decode(
            run([entry.address], *submit, "--json").out
        )
        assert answer["code"] == "version-conflict"
        assert answer["details"] == {"current_version": 4}
        # An unknown code from a newer server; an HTML page from a proxy.
        entry.answers["GET status"] = [(418, {"code": "new", "text": "t"})]
        assert "error (new): t" in run([entry.address], "status").err
        entry.answers["GET status"] = [(502, b"<html>")]
        assert "invalid-message" in run([entry.address], "status").err


def test_next_entry_is_tried_after_failure(run: Run) -> None:
    """Guards against a command that fails because one entry is down."""
    not_ready = {"code": "not-ready", "text": "not synchronised"}
    with (
        serve(make_fake(GET__status=[(503, not_ready)])) as first,
        serve(make_fake()) as second,
    ):
        down = unused_address()
        assert run([down, first.address, second.address], "status").code == 0
        assert run([down, first.address], "status").code == 1
        unreachable = run([down], "status", "--json")
        assert unreachable.code == 3
        assert down in unreachable.out


def test_resent_patch_is_identical(run: Run) -> None:
    """Guards against a resent patch that is treated as a new one."""
    with serve(make_fake()) as entry:
        first = run([entry.address], "domains", "drain", "sur")
        (body,) = entry.posted_bodies("patches")
        assert body["base_version"] == 4
        assert f"--patch-id {body['patch_id']} --base 4" in first.err
        assert f"sardinespool patch approve p1 {DIGEST}" in first.err
        resend = ("--patch-id", body["patch_id"], "--base", "4")
        run([entry.address], "domains", "drain", "sur", *resend)
        assert entry.posted_bodies("patches")[1] == body
        # Without --base, the base version of a known patch is looked up.
        for patch_id in ("p1", "p0"):
            run(
                [entry.address],
                "domains",
                "drain",
                "sur",
                "--patch-id",
                patch_id,
            )
            assert entry.posted_bodies("patches")[-1]["base_version"] == 3


def test_changes_from_file_and_options(
    run: Run, tmp_path: pathlib.Path
) -> None:
    """Guards against submitted changes that differ from the file."""
    file = tmp_path / "changes.yaml"
    file.write_text("- {op: set, key: teams/t, value: {memory_mb: 5}}\n")
    with serve(make_fake()) as entry:
        run([entry.address], "patch", "submit", str(file), "--remove", "a")
        assert entry.posted_bodies("patches")[0]["changes"] == [
            {"op": "set", "key": "teams/t", "value": {"memory_mb": 5}},
            {"op": "remove", "key": "a", "value": None},
        ]


def test_job_options_override_file(run: Run, tmp_path: pathlib.Path) -> None:
    """Guards against options that do not override the file."""
    file = tmp_path / "job.yaml"
    file.write_text("team: t\nmemory_mb: 5\n")
    with serve(make_fake()) as entry:
        run(
            [entry.address],
            "jobs",
            "submit",
            "j1",
            "--file",
            str(file),
            "--memory-mb",
            "7",
        )
        (body,) = entry.posted_bodies("jobs")
        assert (body["job_id"], body["team"]) == ("j1", "t")
        assert body["memory_mb"] == 7


def test_wait_for_version_and_job(
    run: Run, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait that returns early or hides failed tasks."""
    monkeypatch.setattr(views, "POLL_INTERVAL_S", 0)
    monkeypatch.setattr(jobs, "POLL_INTERVAL_S", 0)
    with serve(
        make_fake(
            GET__status=[
                status_answer(3, 3),
                status_answer(4, 3),
                status_answer(4, 4),
            ],
            GET__jobs=[
                job_list_answer("assigned"),
                job_list_answer("finished"),
            ],
        )
    ) as entry:
        assert run([entry.address], "status", "--wait", "4").code == 0
        assert [key for key, _ in entry.requests] == ["GET status"] * 3
        assert run([entry.address], "jobs", "wait", "j1").code == 0
        entry.answers["GET tasks?job=j1"] = [
            (200, TaskList(tasks=(make_task("failed"),)))
        ]
        result = run([entry.address], "jobs", "wait", "j1")
        assert result.code == 1
        assert "j1/0" in result.err
