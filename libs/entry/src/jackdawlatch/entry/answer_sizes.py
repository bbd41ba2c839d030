"""The size of an answer as it is stored."""

from jackdawlatch.model import work

HEADER_OVERHEAD_BYTES = 4


def answer_size_bytes(answer: work.Answer) -> int:
    """Return the bytes that an answer's headers and body take."""
    headers_bytes = sum(
        HEADER_OVERHEAD_BYTES + len(name) + len(text)
        for name, text in answer.headers
    )
    return headers_bytes + len(answer.body)
