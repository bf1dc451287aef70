"""The event bus: its messages and the client that follows it."""
