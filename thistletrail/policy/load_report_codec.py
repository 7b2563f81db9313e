"""Load reports of servers: names and values as text, read into a `LoadReport`.

What a server reports of itself is not trusted: only plain decimal numbers from 0 on are read, and a value
that no server can mean counts as not reported.
"""

import re
from collections.abc import Iterable

from thistletrail.policy.errors import MalformedReportError
from thistletrail.policy.events import LoadReport

# The fields of a `LoadReport` by the names of the simulator's wire, and by those that servers themselves use.
FIELDS_BY_NAME = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "service_ms",
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "inflight": "inflight",
    "queue": "queue",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
}
ABSENT = ("", "-")  # values that stand for none

NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?(e[-+]?[0-9]{1,2})?", re.ASCII)
MAX_BY_FIELD = {"util": 2.0}  # busy cores over all cores: up to 1, and measured with some noise
MAX_VALUE = 1e9  # of all other fields: counts, milliseconds and rates of one server stay far below
MAX_QUOTED = 20  # characters of a malformed value that are quoted in an error


def read_load_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """A load report from pairs of a name and a value.

    Unknown names and absent values are passed over; of a name that comes twice, the last value holds. Raises
    MalformedReportError for a value that is no number.
    """
    fields: dict[str, float | None] = {}
    for name, text in values:
        field = FIELDS_BY_NAME.get(name)
        if field is not None and text not in ABSENT:
            fields[field] = _read_value(field, text)
    return LoadReport(**fields)


def _read_value(field: str, text: str) -> float | None:
    """The value of one field; None where it is larger than any server can mean."""
    if not NUMBER.fullmatch(text):
        raise MalformedReportError(
            f"{field} of a load report is malformed: expected a number, found {text[:MAX_QUOTED]!r}"
        )
    value = float(text)
    return value if value <= MAX_BY_FIELD.get(field, MAX_VALUE) else None
