"""Stand-ins for external systems, drills that play faults with them, and checks of the recorded events."""
