"""What an oracle raises, with the words by which to read the trace."""


class Violation(AssertionError):
    """Something that must always hold does not.

    Attributes:
        name: name of the invariant.
        words: words of the trace that tell what led to it.
    """

    def __init__(self, name: str, detail: str, words: set[str]) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.words = words
