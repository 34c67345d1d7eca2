"""Messages that the system's own processes exchange, and their encoding."""
