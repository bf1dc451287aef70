"""The exchange list in etcd: messages of the JSON gateway and the client that watches the list."""
