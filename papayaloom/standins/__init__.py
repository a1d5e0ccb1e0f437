"""In-memory stand-ins of the external systems, with fault injection."""
