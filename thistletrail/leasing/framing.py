"""Paths, signatures, frames and the clock that the lease service and its clients share."""

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
    """Return a body's signature: the HMAC-SHA256 with the shared secret, in hexadecimal."""
    return hmac.new(secret, body, hashlib.sha256).hexdigest()


def now_ms() -> int:
    """Return the time since boot in milliseconds, including time for which the machine was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


# A work stream is one long HTTP call with frames in both directions. A frame is the body's length, a status,
# the signature, and the body.
FRAME_HEADER = struct.Struct("!IB32s")
STATUS_OK = 0
STATUS_FULL = 1  # the request cannot be persisted now; the body is an error text
STATUS_REJECTED = 2  # the request was rejected; the body is an error text
MAX_FRAME_BYTES = 16 << 20  # without the header


@dataclass(frozen=True, slots=True)
class Frame:
    """One received frame, its signature verified."""

    status: int
    body: bytes


def encode_frame(secret: bytes, body: bytes, status: int = STATUS_OK) -> bytes:
    """Return the bytes of a signed frame."""
    return FRAME_HEADER.pack(len(body), status, frame_signature(secret, status, body)) + body


def frame_signature(secret: bytes, status: int, body: bytes) -> bytes:
    """Return the signature over a frame's status and body."""
    return hmac.new(secret, bytes([status]) + body, hashlib.sha256).digest()


class FrameReader:
    """Splits received bytes into frames."""

    def __init__(self, secret: bytes, max_body_bytes: int = MAX_FRAME_BYTES) -> None:
        self.secret = secret
        self.max_body_bytes = max_body_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.buffer += data

    def next(self) -> Frame | None:
        """Return the next frame; None if it is not complete yet.

        Raises:
            FrameError: It is too large, or not signed by the shared secret.
        """
        if len(self.buffer) < FRAME_HEADER.size:
            return None
        length, status, signature = FRAME_HEADER.unpack_from(self.buffer)
        if length > self.max_body_bytes:
            raise FrameError(f"frame body of {length} bytes exceeds the limit of {self.max_body_bytes} bytes")
        end = FRAME_HEADER.size + length
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[FRAME_HEADER.size : end])
        if not hmac.compare_digest(signature, frame_signature(self.secret, status, body)):
            raise FrameError(f"frame with a body of {length} bytes is not signed by the shared secret")
        del self.buffer[:end]
        return Frame(status, body)
