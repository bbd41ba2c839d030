"""How much room an answer takes."""

from jackdawlatch.model import work

PAIR_BYTES = 4


def of_answer(answer: work.Answer) -> int:
    """Return the bytes of an answer's headers and body."""
    in_headers = sum(
        PAIR_BYTES + len(name) + len(text) for name, text in answer.headers
    )
    return in_headers + len(answer.body)
