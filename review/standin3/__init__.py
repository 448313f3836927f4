"""Stand-ins of the third review: workers, callers and an operator."""
