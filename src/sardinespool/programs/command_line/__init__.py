"""Command line of operators and approvers."""
