"""Start-up, event loop, reload and shutdown of a call controller."""
