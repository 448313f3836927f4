"""Logging: one event per line, prefixed with the component that logs it.

A line has the form ``store: became leader group=centro term=4``. After
`use_json_lines`, events are JSON objects on standard output.
"""

import json
import logging as standard_logging
import re
import sys
from typing import Any

from absl import flags
from absl import logging

from sardinespool.observability.json_log_writer import JsonLogWriter

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_PLAIN_VALUE = re.compile(r"[^\s\"=\\\x00-\x1f\x7f-\x9f\u2028\u2029]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029]")


_json_output: JsonLogWriter | None = None


def use_json_lines(process: str) -> JsonLogWriter:
    """Write all events as JSON objects to standard output from now on."""
    global _json_output
    _json_output = JsonLogWriter(sys.stdout.fileno(), process)
    return _json_output


def configure_logs(level: str = "info") -> None:
    """Write events of `level` and above to standard error.

    Parameters
    ----------
    level : str
        One of debug, info, warning, error.
    """
    # The programs parse their own arguments; absl logs warnings until its
    # flags are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.logtostderr = True
    logging.use_absl_handler()
    # At level info, the HTTP server quotes malformed headers, which may hold
    # credentials.
    standard_logging.getLogger("tornado.general").setLevel(
        standard_logging.WARNING
    )
    logging.set_verbosity(_LEVELS[level])


def format_event(prefix: str, text: str, fields: dict[str, Any]) -> str:
    """Format an event as one line with control characters escaped.

    Text from other processes may contain line breaks, which could otherwise
    forge log lines.
    """
    words = [f"{prefix}: {_CONTROL_CHARACTER.sub(_escape_match, text)}"]
    words.extend(
        f"{key}={_format_value(value)}" for key, value in fields.items()
    )
    return " ".join(words)


class PrefixLogger:
    """Logger of one component.

    Keyword arguments are ids and values of the event, formatted as
    ``key=value`` in the given order. Any name is allowed, also ``text``,
    because details of errors are passed as arguments.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix

    @logging.skip_log_prefix
    def debug(self, text: str, /, **fields: Any) -> None:
        """Log details that are needed only for debugging."""
        if _json_output is not None:
            return
        elif logging.level_debug():
            logging.debug("%s", format_event(self._prefix, text, fields))

    @logging.skip_log_prefix
    def info(self, text: str, /, **fields: Any) -> None:
        """Log an expected change of state."""
        if _json_output is not None:
            _json_output.emit("info", self._prefix, text, fields)
        elif logging.level_info():
            logging.info("%s", format_event(self._prefix, text, fields))

    @logging.skip_log_prefix
    def warning(self, text: str, /, **fields: Any) -> None:
        """Log a failure that the process handles."""
        if _json_output is not None:
            _json_output.emit("warning", self._prefix, text, fields)
            return
        logging.warning("%s", format_event(self._prefix, text, fields))

    @logging.skip_log_prefix
    def error(self, text: str, /, **fields: Any) -> None:
        """Log a failure that requires an operator."""
        if _json_output is not None:
            _json_output.emit("error", self._prefix, text, fields)
            return
        logging.error("%s", format_event(self._prefix, text, fields))


def get_logger(prefix: str) -> PrefixLogger:
    """Return the logger of a component, such as ``store``."""
    return PrefixLogger(prefix)


def _escape_match(match: re.Match[str]) -> str:
    return json.dumps(match.group())[1:-1]


def _format_value(value: Any) -> str:
    text = str(value)
    if _PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text)
