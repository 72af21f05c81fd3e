"""Runs the product's decision code on a virtual clock with simulated surroundings."""
