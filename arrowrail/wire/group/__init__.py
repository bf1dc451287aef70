"""Messages among instances: authenticated datagrams, and the socket that carries them."""
