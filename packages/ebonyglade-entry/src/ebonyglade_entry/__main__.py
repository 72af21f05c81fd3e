"""Runs the command line as `python -m ebonyglade_entry`."""

from ebonyglade_entry.commands import main

main()
