"""The stub of a peer that benchmarks run: it answers what a quota owner is asked."""

from thistletrail.benchmarks.standins import Peer
from thistletrail.policy.codec import pack_message, unpack_message
from thistletrail.policy.events import QuotaMessage

ADDRESS = ("127.0.0.1", 1)


class RecordingTransport:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address))


def test_the_stub_peer_grants_what_is_requested() -> None:
    peer = Peer(level=20.0)
    transport = RecordingTransport()
    peer.connection_made(transport)
    request = QuotaMessage(7, 0, 0, 2, demand=1.0, requested=1.0, level=5.0)
    (datagram,) = pack_message([request])
    peer.datagram_received(datagram, ADDRESS)
    ((answer, address),) = transport.sent
    messages, _ = unpack_message(answer)
    assert messages == (QuotaMessage(7, 0, 0, 2, True, 1.0, 1.0, 1.0, 20.0),)
    assert address == ADDRESS and peer.datagrams == 1
