"""Console scripts: thin commands over the documented modules."""
