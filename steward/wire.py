"""What steward and holders agree on beside the messages: the path, the signature, and the clock."""

from __future__ import annotations

import hashlib
import hmac
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
