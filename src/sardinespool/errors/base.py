"""Base exception class and registry of error codes."""

import re
from typing import Any
from typing import ClassVar

_CLASS_BY_CODE: dict[str, type["SardinespoolError"]] = {}


def _code_from_class_name(name: str) -> str:
    words = re.findall(r"[A-Z][a-z0-9]*", name.removesuffix("Error"))
    return "-".join(word.lower() for word in words)


class SardinespoolError(Exception):
    """Base class of all sardinespool errors.

    Parameters
    ----------
    text : str
        Human-readable message of one sentence.
    **details : Any
        Machine-readable values that can be encoded as JSON, such as the
        current version.

    Attributes
    ----------
    code : str
        Stable identifier, derived from the class name
        (``VersionConflictError`` has ``version-conflict``).
    http_status : int
        Status code of an HTTP response that reports this error.
    """

    code: ClassVar[str] = "sardinespool"
    http_status: ClassVar[int] = 500

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        cls.code = _code_from_class_name(cls.__name__)
        _CLASS_BY_CODE[cls.code] = cls

    def __init__(self, text: str, **details: Any) -> None:
        super().__init__(text)
        self.text = text
        self.details = details


def error_from_code(
    code: str, text: str, details: dict[str, Any]
) -> SardinespoolError:
    """Recreate an error that another process reported.

    Parameters
    ----------
    code : str
        Code of the error class; an unknown code selects the base class.
    text : str
        Message of the original error.
    details : dict
        Details of the original error.
    """
    return _CLASS_BY_CODE.get(code, SardinespoolError)(text, **details)
