"""The desk exchanges' binary protocol: messages and the back that owns connections."""
