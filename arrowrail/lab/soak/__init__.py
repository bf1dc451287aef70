"""Short, dense fault trials of the program: planned from a seed, played with real processes, judged by all
rules."""
