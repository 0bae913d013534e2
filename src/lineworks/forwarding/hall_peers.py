"""The linked instances of one's own data hall, and who among them acts for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import ownership

if TYPE_CHECKING:
    from lineworks.services import peer_links


def names(links: peer_links.PeerLinks, hall: str) -> list[str]:
    """List the linked instances of a hall.

    Args:
        links: Links to the other instances.
        hall: The hall.

    Returns:
        Their names, without this instance's own.
    """
    return [
        name
        for name, link in links.up.items()
        if link.hello is not None and link.hello.hall == hall
    ]


def represents_hall(links: peer_links.PeerLinks, hall: str, own: str, duty: str) -> bool:
    """Say whether this instance is the one of its hall that does something for all of them.

    Instances whose links differ may both say so for a while.

    Args:
        links: Links to the other instances.
        hall: Its hall.
        own: Its name.
        duty: What is done; each duty falls to another instance.

    Returns:
        Whether it ranks first among those that it is linked to.
    """
    return ownership.owners(duty, [*names(links, hall), own], 1)[0] == own
