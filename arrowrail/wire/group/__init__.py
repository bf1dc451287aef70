"""Messages between the instances of a group: authenticated datagrams and the socket that carries them."""
