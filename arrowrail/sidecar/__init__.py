"""A controller beside one application, started from the operator's records alone."""
