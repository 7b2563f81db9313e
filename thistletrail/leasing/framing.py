"""What the lease service and its clients share beside the messages: paths, signatures, frames, the clock."""

from __future__ import annotations

import hashlib
import hmac
import struct
import time
from dataclasses import dataclass

from thistletrail.leasing.errors import FrameError

RENEW_PATH = "/renew"
WORK_PATH = "/work"
SIGNATURE_HEADER = "X-Signature"
MIN_SECRET_BYTES = 16


def sign(secret: bytes, body: bytes) -> str:
    """Return a body's signature by the shared secret: HMAC-SHA256 in hexadecimal."""
    return hmac.new(secret, body, hashlib.sha256).hexdigest()


def now_ms() -> int:
    """Return the time since boot, by the clock of the machine that goes on while it is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


# Work leases go over one long call, in frames both ways: length and status, the signature, the body.
FRAME_HEADER = struct.Struct("!IB32s")
STATUS_OK = 0
STATUS_FULL = 1  # nothing can be persisted now
STATUS_REJECTED = 2  # the body is an error text
MAX_FRAME_BYTES = 16 << 20  # of a body


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame as it was received, its signature checked."""

    status: int
    body: bytes


def encode_frame(secret: bytes, body: bytes, status: int = STATUS_OK) -> bytes:
    """Return a frame as it is sent."""
    return FRAME_HEADER.pack(len(body), status, frame_signature(secret, status, body)) + body


def frame_signature(secret: bytes, status: int, body: bytes) -> bytes:
    """Return the signature over status and body of a frame."""
    return hmac.new(secret, bytes([status]) + body, hashlib.sha256).digest()


class FrameReader:
    """Splits received bytes into frames."""

    def __init__(self, secret: bytes, max_body_bytes: int = MAX_FRAME_BYTES) -> None:
        self.secret = secret
        self.max_body_bytes = max_body_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add bytes as they were received."""
        self.buffer += data

    def next(self) -> Frame | None:
        """Return the next frame if it is complete.

        Raises:
            FrameError: It is too large, or not signed by the shared secret.
        """
        if len(self.buffer) < FRAME_HEADER.size:
            return None
        length, status, signature = FRAME_HEADER.unpack_from(self.buffer)
        if length > self.max_body_bytes:
            raise FrameError(f"a frame of {length} bytes, where {self.max_body_bytes} are the limit")
        end = FRAME_HEADER.size + length
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[FRAME_HEADER.size : end])
        if not hmac.compare_digest(signature, frame_signature(self.secret, status, body)):
            raise FrameError("a frame that is not signed by the shared secret")
        del self.buffer[:end]
        return Frame(status, body)
