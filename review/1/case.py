"""Case 1: a late second copy of a refusal is taken as the answer to the request's next send."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

REQUESTS = 60
"""Requests that are sent, one after the other."""

REFUSED_EACH = 5
"""Of so many requests, the replicas have no room for one at first."""

WARM_UP_SECONDS = 6.0
"""Seconds before the first request: an instance may not retry at once after its start."""

WORK_SECONDS = 0.15
"""Seconds that a replica works on a request."""

SURPLUS_SECONDS = 0.06
"""Seconds after a refusal at which the faulty replica sends it a second time."""

ZONES = {"akl-hall-a": "akl"}
HOST = "parts.example"
SERVICE = "licence-ledger"
ROUTE = {
    "Name": "billed-part",
    "Hostname": HOST,
    "PathPrefix": "/parts/",
    "RouteType": "non_idempotent",
    "TimeoutMs": 6000,
    "SloMs": 600,
    "MaxAttempts": 2,
    "Priority": 2,
    "Service": SERVICE,
}


class Refusing:
    """Replicas that have no room for some requests, and run these when they come again.

    A faulty one also sends each refusal a second time, late.
    """

    def __init__(self, is_faulty: bool) -> None:
        """Begin with no request seen."""
        self._is_faulty = is_faulty
        self._refused: set[tuple[str, str]] = set()
        self.runs: collections.Counter[str] = collections.Counter()

    async def handle(
        self, replica: harness.Replica, request: harness.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, or refuse it at its first arrival here."""
        attempt = request.attempt
        has_room = int(attempt, 16) % REFUSED_EACH or (replica.name, attempt) in self._refused
        if has_room:
            self.runs[attempt] += 1
            await harness.run_and_answer(replica, request, writer, WORK_SECONDS)
            return
        self._refused.add((replica.name, attempt))
        refusal = harness.answer_bytes(503, attempt, b"", "X-Not-Executed: 1")
        replica.record.note(replica.name, f"refuses {attempt}: 503, X-Not-Executed")
        writer.write(refusal)
        if self._is_faulty:
            asyncio.get_running_loop().call_later(
                SURPLUS_SECONDS, self._send_again, replica, attempt, writer, refusal
            )

    def _send_again(
        self,
        replica: harness.Replica,
        attempt: str,
        writer: asyncio.StreamWriter,
        refusal: bytes,
    ) -> None:
        if not writer.is_closing():
            replica.record.note(replica.name, f"surplus copy of the refusal of {attempt}")
            writer.write(refusal)


async def play(deployment: harness.Deployment, is_disturbed: bool) -> str:
    """Send requests that may run once, and look for those that ran twice or after a refusal."""
    record = deployment.record
    replicas = Refusing(is_disturbed)
    for number, port in enumerate(harness.free_ports(2), 1):
        replica = harness.Replica(
            record, f"i-ledger-{number}", SERVICE, "akl-hall-a", port, replicas.handle
        )
        await replica.start()
        deployment.announce(replica)
    deployment.configure(1, [ROUTE], [SERVICE])
    node = deployment.add_node("edge-akl-hall-a-1", "akl-hall-a", ZONES)
    node.start()
    await deployment.wait_ready()
    await asyncio.sleep(WARM_UP_SECONDS)
    refused = []
    answered = 0
    for number in range(REQUESTS):
        attempt = f"{number:016x}"
        answer = await harness.ask(record, node.port, attempt, "GET", HOST, "/parts/1", 6.0)
        await asyncio.sleep(2 * WORK_SECONDS)
        answered += answer is not None and answer.status == 200
        if answer is not None and answer.status in (408, 421, 429, 503) and replicas.runs[attempt]:
            refused.append(attempt)
    twice = [attempt for attempt, count in replicas.runs.items() if count > 1]
    record.note("case", f"{answered} of {REQUESTS} answered with 200")
    if not twice and not refused:
        return ""
    return f"TWICE: {len(twice)} of {REQUESTS} ran twice; REFUSED: {len(refused)} had run"


if __name__ == "__main__":
    sys.exit(harness.run_case(pathlib.Path(__file__).resolve().parent, play))
