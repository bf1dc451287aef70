"""Stand-ins for external systems, drills that inject faults with them, and checks of the recorded events."""
