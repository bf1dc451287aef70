"""The binary protocol of desk exchanges: messages, connection pools and the backend that owns them."""
