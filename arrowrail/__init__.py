"""The call controller as a process: sockets, state and signalling around the decisions of ``trackhatch``."""
