"""Errors that a user can correct, as opposed to bugs, and exit codes."""


class UserError(Exception):
    """A mistake in settings or on the command line, described in one line.

    Programs print the message without a traceback and exit with
    `EXIT_USER_ERROR`.
    """


EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USER_ERROR = 2
