"""Escaping of URL path segments."""

import urllib.parse


def quote_segment(name: str) -> str:
    """Escape an ID, which may contain slashes, as one path segment."""
    return urllib.parse.quote(name, safe="")
