"""Periodic duties shared by a group of instances: which instance runs which, and when.  No I/O, no clocks."""
