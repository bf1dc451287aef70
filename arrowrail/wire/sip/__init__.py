"""SIP over TCP: messages, the frontend that owns callers' connections, and delivery of releases."""
