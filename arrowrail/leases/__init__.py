"""Who may run a duty: leases that a majority grants, decided without I/O or clocks."""
