"""The SIP side: messages, and the front that owns callers' connections."""
