"""Randomized fault soak of real gateway processes on one machine."""
