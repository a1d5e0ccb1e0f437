"""In-memory stand-ins of the outside systems, with fault switches."""
