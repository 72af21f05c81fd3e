"""Errors that a user can mend, kept apart from bugs."""


class UserError(Exception):
    """A mistake in settings or on the command line, told in one line.

    Programs print the message without a traceback and exit with
    `EXIT_USER_ERROR`.
    """


EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USER_ERROR = 2
