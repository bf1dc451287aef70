"""Periodic duties of a group of instances: who is to run which, decided without I/O or clocks."""
