"""What a router knows and expects of the load of the replicas."""
