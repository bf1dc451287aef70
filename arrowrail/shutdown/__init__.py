"""Graceful shutdown.  Pure: no I/O, and times are parameters."""
