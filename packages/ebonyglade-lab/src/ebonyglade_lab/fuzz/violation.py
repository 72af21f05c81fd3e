"""The error that the oracle raises, with the words to filter the trace by."""


class Violation(AssertionError):
    """An invariant does not hold.

    Attributes:
        name: name of the invariant.
        subjects: words that select the trace events that led to it.
    """

    def __init__(self, name: str, detail: str, subjects: set[str]) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.subjects = subjects
