"""Scheduling of background work next to call handling.  No I/O, no clock access."""
