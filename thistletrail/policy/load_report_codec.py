"""Reads the load reports of servers from names and values as text into `LoadReport`.

Reports are not trusted: only plain decimal numbers from 0 on are accepted, and a value beyond the plausible
range of its field counts as not reported.
"""

import re
from collections.abc import Iterable

from thistletrail.policy.errors import MalformedReportError
from thistletrail.policy.events import LoadReport

# The fields of a `LoadReport` by their names on the simulator's wire and by the names that servers use.
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
ABSENT = ("", "-")  # Values that mean that a field is not reported.

NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?(e[-+]?[0-9]{1,2})?", re.ASCII)

# The largest plausible values by field. Utilization is busy cores over all cores, so it is at most 1 but for
# noise in the servers' reports.
MAX_BY_FIELD = {"util": 2.0}

# The largest plausible value of the other fields. Counts, milliseconds and rates of a server are far below.
MAX_VALUE = 1e9

MAX_QUOTED_CHARS = 20  # An error quotes at most this many characters of a malformed value.


def read_load_report(values: Iterable[tuple[str, str]]) -> LoadReport:
    """Read a load report from pairs of a name and a value.

    Unknown names and absent values are ignored; if a field is given twice, its last value applies. Raises
    MalformedReportError for a value that is not a number.
    """
    fields: dict[str, float | None] = {}
    for name, text in values:
        field = FIELDS_BY_NAME.get(name)
        if field is not None and text not in ABSENT:
            fields[field] = _read_value(field, text)
    return LoadReport(**fields)


def _read_value(field: str, text: str) -> float | None:
    """The value of one field; None where it exceeds the plausible range."""
    if not NUMBER.fullmatch(text):
        raise MalformedReportError(
            f"{field} of a load report is malformed: expected a number, found {text[:MAX_QUOTED_CHARS]!r}"
        )
    value = float(text)
    return value if value <= MAX_BY_FIELD.get(field, MAX_VALUE) else None
