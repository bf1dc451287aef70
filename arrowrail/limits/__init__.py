"""Admission limits for the set-ups of one application.  Free of I/O and clocks."""
