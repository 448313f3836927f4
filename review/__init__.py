"""Independent review: cases that break a rule, with their stand-ins."""
