"""Entry points of the console scripts."""
