"""Rate limits that replicas named, and the share of each router."""
