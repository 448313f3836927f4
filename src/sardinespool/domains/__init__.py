"""Start permits and service state of failure domains."""
