"""What the two cases on quotas share: a tenant that asks beyond its limit, and the rule's check."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

import harness

HOST = "desk.example"
SERVICE = "dispatch-desk"
KEY = "key-courier-1"
ROUTE = {
    "Name": "ledger-pull",
    "Hostname": HOST,
    "PathPrefix": "/ledger/",
    "RouteType": "idempotent",
    "TimeoutMs": 6000,
    "SloMs": 600,
    "MaxAttempts": 2,
    "Priority": 2,
    "Service": SERVICE,
}

ZONES = {"akl-hall-a": "akl", "wlg-hall-b": "wlg", "chc-hall-c": "chc"}
"""Region of each zone."""

WINDOW, EXCESS, SLACK = 5.0, 0.1, 20.0
"""`QuotaWindowS`, `QuotaExcess` and `QuotaSlack` of the sheet."""

CALM_SECONDS = 8.0
"""Seconds without requests, longer than a window, so that none before them counts."""

BUDGET_SECONDS = 2.0
WORK_SECONDS = 0.005


@dataclasses.dataclass(frozen=True)
class Limit:
    """The quota of the tenant."""

    rate: float
    burst: float

    @property
    def allowed(self) -> float:
        """Requests that may run in any window."""
        return (self.rate * WINDOW + self.burst) * (1 + EXCESS) + SLACK

    def tenant(self) -> dict[str, object]:
        """Return the tenant as the configuration holds it."""
        return {
            "Name": "courier",
            "ApiKeys": [KEY],
            "RatePerS": self.rate,
            "Burst": self.burst,
        }


class Book:
    """When each request was sent, and when a replica first ran it."""

    def __init__(self) -> None:
        """Begin empty."""
        self._numbers = itertools.count()
        self._sent: dict[str, float] = {}
        self._ran: dict[str, float] = {}

    def note_sent(self, at: float) -> str:
        """Note that a request is sent, and return its identity."""
        attempt = f"{next(self._numbers):016x}"
        self._sent[attempt] = at
        return attempt

    async def handle(
        self, replica: harness.Replica, request: harness.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request."""
        self._ran.setdefault(request.attempt, replica.record.now)
        await harness.run_and_answer(replica, request, writer, WORK_SECONDS)

    def most_in_window(self) -> int:
        """Return the most requests that were both sent and run in one window."""
        spans = [(self._sent[attempt], at) for attempt, at in self._ran.items()]
        most = 0
        for begin, _ in spans:
            inside = [at for sent, at in spans if sent >= begin and at <= begin + WINDOW]
            most = max(most, len(inside))
        return most


async def start(
    deployment: harness.Deployment, book: Book, limit: Limit, nodes: dict[str, int]
) -> None:
    """Start a replica and some instances in each zone, and wait until they are ready."""
    for zone, port in zip(ZONES, harness.free_ports(len(ZONES)), strict=True):
        name = f"i-desk-{zone}"
        replica = harness.Replica(deployment.record, name, SERVICE, zone, port, book.handle)
        await replica.start()
        deployment.announce(replica, 16)
    deployment.configure(1, [ROUTE], [SERVICE], [limit.tenant()])
    for zone, count in nodes.items():
        for number in range(1, count + 1):
            add_node(deployment, f"edge-{zone}-{number}", zone)
    await deployment.wait_ready()


def add_node(deployment: harness.Deployment, name: str, zone: str) -> None:
    """Start one more instance."""
    deployment.add_node(
        name, zone, ZONES, QuotaWindowS=WINDOW, QuotaExcess=EXCESS, QuotaSlack=SLACK
    ).start()


async def send_hot(
    record: harness.Record, node: harness.Node, book: Book, per_second: float, seconds: float
) -> None:
    """Send the tenant's requests at one instance, and wait for their answers."""
    pending = []
    until = record.now + seconds
    while record.now < until:
        call = harness.ask(
            record,
            node.port,
            book.note_sent(record.now),
            "GET",
            HOST,
            "/ledger/1",
            BUDGET_SECONDS,
            Authorization=f"Bearer {KEY}",
        )
        pending.append(asyncio.create_task(call))
        await asyncio.sleep(1 / per_second)
    await asyncio.gather(*pending)


def judge(record: harness.Record, book: Book, limit: Limit) -> str:
    """Return how the rule was broken; an empty text if it held."""
    most = book.most_in_window()
    found = f"{most} requests in a window of {WINDOW:g} s; {limit.allowed:.1f} are allowed"
    record.note("case", found)
    return f"QUOTA: {found}" if most > limit.allowed else ""
