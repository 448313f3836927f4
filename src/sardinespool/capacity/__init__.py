"""Announcements of endpoints and slot grants."""
