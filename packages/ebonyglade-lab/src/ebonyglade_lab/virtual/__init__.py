"""The real decision code on a virtual clock, with small fakes around it."""
