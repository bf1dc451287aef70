"""Which exchanges a class may use now: decided without I/O or clocks."""
