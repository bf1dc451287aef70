"""Files that outlive the process, written outside the event loop."""
