"""Record files: their syntax, schema and defaults, and the checks that the program and the tools share."""
