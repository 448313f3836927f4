"""Root of the exception tree and the registry of error codes."""

import re
from typing import Any
from typing import ClassVar

_REGISTRY: dict[str, type["SardinespoolError"]] = {}


def _code_of(name: str) -> str:
    words = re.findall(r"[A-Z][a-z0-9]*", name.removesuffix("Error"))
    return "-".join(word.lower() for word in words)


class SardinespoolError(Exception):
    """Base of every failure that sardinespool reports.

    Parameters
    ----------
    text : str
        One sentence for a person.
    **details : Any
        JSON-compatible values for programs, such as the current version.

    Attributes
    ----------
    code : str
        Stable identifier, derived from the class name
        (``VersionConflictError`` has ``version-conflict``).
    http_status : int
        Status of an HTTP answer that reports this failure.
    """

    code: ClassVar[str] = "sardinespool"
    http_status: ClassVar[int] = 500

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        cls.code = _code_of(cls.__name__)
        _REGISTRY[cls.code] = cls

    def __init__(self, text: str, **details: Any) -> None:
        super().__init__(text)
        self.text = text
        self.details = details


def error_from_code(
    code: str, text: str, details: dict[str, Any]
) -> SardinespoolError:
    """Rebuild an error that another process reported.

    Parameters
    ----------
    code : str
        Code of the error class; an unknown code gives the base class.
    text : str
        Sentence of the original error.
    details : dict
        Details of the original error.
    """
    return _REGISTRY.get(code, SardinespoolError)(text, **details)
