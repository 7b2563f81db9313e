"""What steward and holders agree on beside the messages: the path, the signature, and the clock."""

from __future__ import annotations

import hashlib
import hmac
import struct
import time

PATH, WORK_PATH = "/renew", "/work"
SIGNATURE = "X-Signature"
LEAST_SECRET = 16  # bytes


def sign(secret: bytes, body: bytes) -> str:
    """A body's signature by the shared secret: HMAC-SHA256 in hexadecimal."""
    return hmac.new(secret, body, hashlib.sha256).hexdigest()


def now_ms() -> int:
    """A clock that all processes of the machine share, and that goes on over suspension."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


# Work in hand goes over one long call, in frames both ways: length and status, the signature, the body.
FRAME = struct.Struct("!IB32s")
GOOD, FULL, REFUSED = 0, 1, 2  # statuses: an answer; nothing can be kept; one clear sentence
MOST_FRAME = 16 << 20  # bytes of a body


class FrameError(Exception):
    """A frame that makes no sense, or is not signed by the shared secret."""


def frame(secret: bytes, body: bytes, status: int = GOOD) -> bytes:
    """A frame as it is written."""
    signature = hmac.new(secret, bytes([status]) + body, hashlib.sha256).digest()
    return FRAME.pack(len(body), status, signature) + body


class Frames:
    """Bytes that have come, taken apart; what is not signed, or too large, is a FrameError."""

    def __init__(self, secret: bytes, most: int = MOST_FRAME) -> None:
        self.secret, self.most, self.buffer = secret, most, bytearray()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> tuple[int, bytes] | None:
        """Status and body of the next frame, if it is whole."""
        if len(self.buffer) < FRAME.size:
            return None
        length, status, signature = FRAME.unpack_from(self.buffer)
        if length > self.most:
            raise FrameError(f"a frame of {length} bytes")
        if len(self.buffer) < FRAME.size + length:
            return None
        body = bytes(self.buffer[FRAME.size : FRAME.size + length])
        if not hmac.compare_digest(
            signature, hmac.new(self.secret, bytes([status]) + body, hashlib.sha256).digest()
        ):
            raise FrameError("a frame that is not signed by the shared secret")
        del self.buffer[: FRAME.size + length]
        return status, body
