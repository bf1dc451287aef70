"""Stand-ins for external systems, drills that inject faults with them, and checks of the recorded events.

Also the benchmarks, the simulated network of the tests, and the model check of the lease protocol.
"""
