"""Background work beside call handling: what may run now, and for how long, decided without I/O or clocks."""
