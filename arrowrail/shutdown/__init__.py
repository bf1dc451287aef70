"""Decisions on a planned end of the process.  No I/O, no clock: times are handed in."""
