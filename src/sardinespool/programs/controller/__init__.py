"""Member of a control group, whose leader sends orders to workers."""
