"""The event bus: its messages and the client that reads its stream."""
