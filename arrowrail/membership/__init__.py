"""Group membership: failure detection and gossip.  No I/O, no clock access."""
