"""Extrapolates measured memory, messages and processor time to a larger fleet."""
