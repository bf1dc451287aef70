"""Stand-ins for outside systems, drills that play hard cases with them, and the judges of what they saw."""
