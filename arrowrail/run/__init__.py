"""Start and stop: configuration, the loop, signals and logging."""
