"""Task placement and worker control; runs on the leader of a group."""
