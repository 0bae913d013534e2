"""Measures what a fleet costs while nobody asks it anything: `python -m bench.rest [INSTANCES...]`.

The instances are the real services on a network in memory, whose own work is part of the figures.
"""

from __future__ import annotations

import sys
import time

import structlog

from bench import fakes
from lineworks.standins import deployment

SIZES = (30, 120, 195)
"""Instances of the fleets that are measured."""

SERVICES = 30
"""Services, each with a target in two halls."""

LINKING_SECONDS = 6.0
"""Seconds in which the instances find each other; not measured."""

MEASURED_SECONDS = 6.0
"""Seconds that are measured: some of everything that comes at intervals."""


def measure(instances: int) -> float:
    """Measure a fleet at rest.

    Args:
        instances: Its size.

    Returns:
        Microseconds of processor time for one instance in a second.
    """
    world = deployment.Deployment(fakes.VirtualClock())
    services = [f"s{number:03d}" for number in range(SERVICES)]
    for service in services:
        for hall in deployment.HALLS[:2]:
            world.add_target(service, hall)
    world.configure([{"Name": "search", "PathPrefix": "/search/", "Fanout": services}])
    for number in range(instances):
        hall = deployment.HALLS[number % len(deployment.HALLS)]
        world.add_node(f"{hall}-{number}", hall)
    world.run(LINKING_SECONDS)
    began = time.process_time()
    world.run(MEASURED_SECONDS)
    return (time.process_time() - began) / MEASURED_SECONDS / instances * 1e6


def main(argv: list[str]) -> None:
    """Print the figures.

    Args:
        argv: Program name, and sizes if not the usual ones.
    """
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for instances in map(int, argv[1:] or SIZES):
        print(f"{instances} instances: {measure(instances):.0f} us a second and instance")


if __name__ == "__main__":
    main(sys.argv)
