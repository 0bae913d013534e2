"""Lists the linked instances of a data hall, and selects one of them to act for the hall."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import ownership

if TYPE_CHECKING:
    from lineworks.services import peer_links


def names(links: peer_links.PeerLinks, hall: str) -> list[str]:
    """Return the linked instances of a hall.

    Args:
        links: Links to the other instances.
        hall: Name of the hall.

    Returns:
        Names of the instances, without this instance.
    """
    return [
        name
        for name, link in links.up.items()
        if link.hello is not None and link.hello.hall == hall
    ]


def represents_hall(links: peer_links.PeerLinks, hall: str, own: str, duty: str) -> bool:
    """Return whether this instance performs a duty on behalf of its hall.

    If the links of instances differ, several of them may perform the duty for a while.

    Args:
        links: Links to the other instances.
        hall: Hall of this instance.
        own: Name of this instance.
        duty: Name of the duty. Different duties may fall to different instances.

    Returns:
        True if rendezvous hashing ranks it first among itself and the instances linked to it.
    """
    return ownership.owners(duty, [*names(links, hall), own], 1)[0] == own
