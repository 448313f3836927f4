"""Configuration versions, patches and approvals."""
