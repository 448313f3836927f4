"""Log lines: a fixed prefix for each part, one event a line.

A line reads ``store: became leader group=centro term=4``, or is a JSON
object on standard output after `use_json_lines`.
"""

import json
import re
import sys
from typing import Any

from absl import flags
from absl import logging

from sardinespool.observability.json_lines import JsonLines

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_PLAIN_VALUE = re.compile(r"[^\s\"=\\\x00-\x1f\x7f-\x9f\u2028\u2029]+")
_CONTROL = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")


_json_lines: JsonLines | None = None


def use_json_lines(process: str) -> JsonLines:
    """Write all lines as JSON objects to standard output from now on."""
    global _json_lines
    _json_lines = JsonLines(sys.stdout.fileno(), process)
    return _json_lines


def configure_logs(level: str = "info") -> None:
    """Write lines of `level` and above to standard error.

    Parameters
    ----------
    level : str
        One of debug, info, warning, error.
    """
    # The programs have their own arguments; absl warns until its flags count
    # as parsed.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.logtostderr = True
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])


def format_event(prefix: str, text: str, ids: dict[str, Any]) -> str:
    """Return one line; control characters in any part are escaped.

    Text from other processes can hold line breaks, which would otherwise
    forge log lines.
    """
    parts = [f"{prefix}: {_CONTROL.sub(_escape, text)}"]
    parts.extend(f"{key}={_format_value(value)}" for key, value in ids.items())
    return " ".join(parts)


class PrefixLogger:
    """Logger of one part.

    Keyword arguments are ids and values of the event, shown as
    ``key=value`` in the given order. Any name is allowed, also ``text``, since
    details of errors are passed on.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    @logging.skip_log_prefix
    def debug(self, text: str, /, **ids: Any) -> None:
        """Log what only helps to follow a fault step by step."""
        if _json_lines is not None:
            return
        elif logging.level_debug():
            logging.debug("%s", format_event(self._prefix, text, ids))

    @logging.skip_log_prefix
    def info(self, text: str, /, **ids: Any) -> None:
        """Log a planned change of state."""
        if _json_lines is not None:
            _json_lines.emit("info", self._prefix, text, ids)
        elif logging.level_info():
            logging.info("%s", format_event(self._prefix, text, ids))

    @logging.skip_log_prefix
    def warning(self, text: str, /, **ids: Any) -> None:
        """Log a fault that the process handles."""
        if _json_lines is not None:
            _json_lines.emit("warning", self._prefix, text, ids)
            return
        logging.warning("%s", format_event(self._prefix, text, ids))

    @logging.skip_log_prefix
    def error(self, text: str, /, **ids: Any) -> None:
        """Log a fault that needs a person."""
        if _json_lines is not None:
            _json_lines.emit("error", self._prefix, text, ids)
            return
        logging.error("%s", format_event(self._prefix, text, ids))


def get_logger(prefix: str) -> PrefixLogger:
    """Return the logger of a part, such as ``store``."""
    return PrefixLogger(prefix)


def _escape(match: re.Match[str]) -> str:
    return json.dumps(match.group())[1:-1]


def _format_value(value: Any) -> str:
    text = str(value)
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)
