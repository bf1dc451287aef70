"""Leases granted by a majority of voters decide which instance runs a duty.  No I/O, no clock access."""
