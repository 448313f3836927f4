"""Parts of URL paths."""

import urllib.parse


def quote(name: str) -> str:
    """Escape an id, which may hold slashes, as one part of a path."""
    return urllib.parse.quote(name, safe="")
