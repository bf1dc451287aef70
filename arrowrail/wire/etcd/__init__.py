"""The exchange list in etcd: its messages and the client that follows it."""
