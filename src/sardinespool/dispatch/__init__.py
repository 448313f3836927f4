"""Planning of tasks and orders to workers; active on a group's leader."""
