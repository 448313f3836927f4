"""Entry program: HTTP interfaces for callers, workers and operators."""
