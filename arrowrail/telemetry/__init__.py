"""What a running process tells its operators: structured log events and counters."""
