"""Admission, endpoint choice and retries."""
