"""Who is in the group: failure detection and gossip, decided without I/O or clocks."""
