"""What one application may bring in: decided without I/O or clocks."""
