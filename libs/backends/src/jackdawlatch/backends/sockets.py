"""Options of the sockets that libcurl opens."""

import socket
import struct

# ``struct linger``: on, with a timeout of 0 s.
RESET = struct.pack('ii', 1, 0)


def reset_on_close(descriptor: int) -> None:
    """Let a connection be reset when it is closed.

    What a network still holds of a request that is not waited for any longer
    must not arrive later, as it would after an end in order.
    """
    opened = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    # libcurl closes it.
    opened.detach()
