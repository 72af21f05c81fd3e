"""What callers' connections may take of a process, and which are closed first."""
