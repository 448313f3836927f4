"""Tests of versions, patches and approvals."""
