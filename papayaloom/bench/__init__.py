"""Benchmarks on virtual time, and the demo."""
