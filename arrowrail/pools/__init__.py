"""Exchange pools: which exchanges each route may use.  Free of I/O and clocks."""
