"""Dry run of a job: asks a core machine where it would be placed."""

import pathlib
import sys
import urllib.parse
from typing import Any

import msgspec
import tornado.httpclient

from sardinespool.errors import error_from_code
from sardinespool.errors import SardinespoolError
from sardinespool.errors.tasks import InvalidJobError
from sardinespool.errors.transport import InvalidMessageError
from sardinespool.programs.command_line.client import EntryUnreachableError
from sardinespool.programs.command_line.output import Output

TIMEOUT_S = 5.0


class _Refusal(msgspec.Struct):
    error: str
    text: str = ""


def explain_job(
    file: str, member: str, url: str, key: str, output: Output
) -> None:
    """Print where the tasks of a job would start now.

    Parameters
    ----------
    file : str
        File with the body of the submission; - for standard input.
    member : str
        Status address of a core machine.
    url : str
        URL to which a caller would send the job.
    key : str
        Key that the caller would send, or "".
    output : Output
        Printer of the result.

    Raises
    ------
    SardinespoolError
        The file or the machine can't be read, or the job would be refused.
    """
    answer = _ask(_read(file), member, urllib.parse.urlsplit(url), key)
    fields = {name: item for name, item in answer.items() if name != "steps"}
    output.print_table(
        answer,
        (
            "step",
            "tasks",
            "starts",
            "waiting",
            "reason",
            "excluded before",
            "excluded after",
        ),
        [
            (
                step["step"],
                step["tasks"],
                _counts(step["starts"]),
                step["waiting"],
                step["reason"],
                _counts(step["excluded_workers"]),
                _counts(step["excluded_after_pass"]),
            )
            for step in answer["steps"]
        ],
    )
    output.print_note(_counts(fields))


def _read(file: str) -> bytes:
    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        raise InvalidJobError(
            "The file of the job could not be read.",
            file=file,
            reason=error.strerror,
        ) from error


def _ask(
    body: bytes, member: str, url: urllib.parse.SplitResult, key: str
) -> dict[str, Any]:
    headers = {"Host": url.netloc}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    client = tornado.httpclient.HTTPClient()
    try:
        response = client.fetch(
            f"http://{member}/explain{url.path}",
            method="POST",
            headers=headers,
            body=body,
            request_timeout=TIMEOUT_S,
            raise_error=False,
        )
    finally:
        client.close()
    if response.code == 599:
        raise EntryUnreachableError(
            "The core machine could not be reached.", member=member
        )
    if response.code != 200:
        raise _refusal(
            response.code,
            response.body,
            response.headers.get("Retry-After", ""),
        )
    answer: dict[str, Any] = msgspec.json.decode(response.body)
    return answer


def _refusal(
    status: int, body: bytes, retry_after_s: str
) -> SardinespoolError:
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        return InvalidMessageError("No error code came.", status=status)
    error = error_from_code(refusal.error, refusal.text, {})
    error.details.setdefault("code", refusal.error)
    if retry_after_s:
        error.details["retry_after_s"] = retry_after_s
    return error


def _counts(values: dict[str, Any]) -> str:
    return ", ".join(f"{name}: {value}" for name, value in values.items())
