"""Runs the command line as `python -m ebonyglade_agent`."""

from ebonyglade_agent.commands import main

main()
