"""Member of a control group; the leader drives workers by calls."""
