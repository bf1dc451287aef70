"""One instance of a group: membership, leases and duties together, and what carries them."""
