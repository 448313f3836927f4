"""Small fakes at the interfaces of the placement policy."""
