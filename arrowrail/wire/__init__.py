"""Wire protocols: parsers and encoders without I/O, and the frontends and backends that own the sockets."""
