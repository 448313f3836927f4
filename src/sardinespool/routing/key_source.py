"""Generation of idempotency keys and choice of their home groups."""

import random
from collections.abc import Sequence

from sardinespool.routing.keys import generate_key
from sardinespool.routing.keys import KeyHome
from sardinespool.routing.keys import rendezvous_order


class KeySource:
    """Generates keys and orders the homes to try.

    Parameters
    ----------
    failure_domain : str
        The entry's own failure domain, which is the first home.
    failure_domains : Sequence[str]
        All failure domains in the settings.
    generator : random.Random
        Random number generator for the keys.

    Attributes
    ----------
    group_incarnation : str
        Incarnation of the own domain's group at the last synchronisation.
    own_group_reachable : bool
        False if the own group did not answer the last synchronisations; new
        keys then get another home immediately.
    """

    def __init__(
        self,
        failure_domain: str,
        failure_domains: Sequence[str],
        generator: random.Random,
    ) -> None:
        self._own_failure_domain = failure_domain
        self.failure_domains = tuple(failure_domains)
        self._generator = generator
        self.group_incarnation = ""
        self.own_group_reachable = True

    def homes(self, request_id: str) -> list[str]:
        """Return the homes to try for a generated key, in order.

        The own group comes first, or last while it is unreachable.
        """
        others = rendezvous_order(
            request_id,
            [
                name
                for name in self.failure_domains
                if name != self._own_failure_domain
            ],
        )
        if self.own_group_reachable:
            return [self._own_failure_domain, *others]
        return [*others, self._own_failure_domain]

    def generate(self, home: str, unix_ms: int) -> KeyHome:
        """Return a new key whose record is stored in `home`."""
        incarnation = (
            self.group_incarnation if home == self._own_failure_domain else ""
        )
        return generate_key(home, incarnation, unix_ms, self._generator)
