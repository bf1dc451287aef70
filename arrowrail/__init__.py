"""The real call controller: sockets, state and process around the decisions of ``trackhatch``."""
