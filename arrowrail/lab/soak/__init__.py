"""Fault trials of the call controller: short runs with many faults, generated from a seed, run with real
processes and checked against the operators' rules."""
