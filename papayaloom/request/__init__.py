"""State and protocol logic of a single request."""
