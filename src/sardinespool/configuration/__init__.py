"""Versions, patches and approvals."""
