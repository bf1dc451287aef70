"""What a repeated set-up may be answered.  Pure: no I/O, and times are parameters."""
