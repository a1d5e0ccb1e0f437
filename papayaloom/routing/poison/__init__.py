"""Requests under which replicas crash: evidence and verdicts."""
