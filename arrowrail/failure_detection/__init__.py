"""Decisions on whether a peer that has fallen silent is still there.  No I/O, no clock: times are handed
in."""
