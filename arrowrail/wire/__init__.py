"""What is spoken on the wire: pure parsers and encoders, and the thin fronts and backs that own sockets."""
