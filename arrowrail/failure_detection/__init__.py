"""Decides whether a silent endpoint is still there.  Pure: no I/O, and times are parameters."""
