"""Store program: hosts members of replicated groups."""
