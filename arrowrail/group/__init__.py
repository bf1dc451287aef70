"""One instance of a group: membership, leases and duties, and the runtime that carries their messages."""
