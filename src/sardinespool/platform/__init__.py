"""Adapter to the users' platform: settings, HTTP paths and message bodies.

The platform's wire names are used in this package only. The package makes no
scheduling decisions: it decodes requests into the scheduler's own types and
encodes the scheduler's replies.
"""
