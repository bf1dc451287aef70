"""Structured log events and counters."""
