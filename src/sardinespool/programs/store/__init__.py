"""The store program: replicated groups on a host with a disk."""
