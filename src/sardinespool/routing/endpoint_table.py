"""Endpoints of the entry's failure domain."""

from collections.abc import Iterator
from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.capacity import SlotDemand
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.service_policy import read_policies
from sardinespool.routing.service_policy import ServicePolicy

CONTACT_LOST_MS = 3_000


class EndpointTable:
    """Configuration and endpoints as of the last `EntryView`.

    Parameters
    ----------
    entry_count : int
        Number of entries of the failure domain in the settings.
    """

    def __init__(self, entry_count: int) -> None:
        self._entry_count = entry_count
        self._endpoints: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}
        self.version = 0
        self.table_version = 0
        self.group_incarnation = ""
        self.synced_boot_ms: int | None = None
        self.synced_unix_ms = 0
        self.policies: dict[str, ServicePolicy] = {}

    def apply(self, view: EntryView, now: Instant) -> None:
        """Follow a view; a lower configuration version is not adopted."""
        first = self.synced_boot_ms is None
        self.synced_boot_ms = now.boot_ms
        self.synced_unix_ms = view.unix_ms
        self.group_incarnation = view.group_incarnation
        if view.configuration is not None and (
            view.configuration.version > self.version
        ):
            self.version = view.configuration.version
            self.policies = read_policies(view.configuration.values)
        if view.endpoints is not None:
            self._replace_endpoints(view, None if first else now.boot_ms)
            self.table_version = view.table_version
        grants = {grant.worker_id: grant for grant in view.grants}
        for worker_id, state in self._endpoints.items():
            state.refused_until_next_view = False
            state.give(grants.get(worker_id))

    def _replace_endpoints(
        self, view: EntryView, slow_start_boot_ms: int | None
    ) -> None:
        previous = self._endpoints
        self._endpoints = {}
        self._by_service = {}
        for endpoint in view.endpoints or ():
            state = previous.get(endpoint.worker_id)
            if state is None or (
                state.endpoint.incarnation != endpoint.incarnation
                or state.endpoint.address != endpoint.address
            ):
                state = EndpointState(
                    endpoint, self._entry_count, slow_start_boot_ms
                )
            state.announce(endpoint, self._entry_count)
            self._endpoints[endpoint.worker_id] = state
            for service in endpoint.services:
                self._by_service.setdefault(service, []).append(state)

    def in_contact(self, now: Instant) -> bool:
        """Tell whether the group answered within the last 3 seconds."""
        return self.synced_boot_ms is not None and (
            now.boot_ms - self.synced_boot_ms <= CONTACT_LOST_MS
        )

    def accepts(self, worker_id: str) -> bool:
        """Tell whether an endpoint is announced and not leaving.

        A request can get its slot long before its first byte, for example
        when the entry was frozen in between.
        """
        state = self._endpoints.get(worker_id)
        return state is not None and not state.endpoint.leaving

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints that announce a service, leaving ones too."""
        return self._by_service.get(service, [])

    def has_endpoint(self, service: str, now: Instant) -> bool:
        """Tell whether requests for the service may be sent or wait.

        An endpoint without a usable slot counts while the group can be
        reached, since a grant may come with the next synchronisation.
        """
        in_contact = self.in_contact(now)
        return any(
            state.is_usable(now)
            and (in_contact or state.usable_slots(now) > 0)
            for state in self.of_service(service)
        )

    def usable_slots(self, service: str, now: Instant) -> int:
        """Return the sum of the slots that new requests may use."""
        return sum(
            state.ramped_slots(now)
            for state in self.of_service(service)
            if state.is_usable(now) and not state.is_set_aside(now)
        )

    def has_free_slot(self, service: str, now: Instant) -> bool:
        """Tell whether a request could be sent at once."""
        return any(
            state.has_free_slot(now) for state in self.of_service(service)
        )

    def addresses(self) -> frozenset[str]:
        """Return the addresses that may get requests."""
        return frozenset(
            state.endpoint.address
            for state in self._endpoints.values()
            if not state.endpoint.leaving
        )

    def take_demands(
        self, queued: Mapping[str, int]
    ) -> tuple[SlotDemand, ...]:
        """Return the largest use of each endpoint since the last call.

        Parameters
        ----------
        queued : Mapping
            Number of waiting requests by service. They are counted as demand
            of the service's endpoints in equal parts; otherwise an entry
            without a slot would never show a need for one.
        """
        wanted: dict[str, int] = {}
        for service, count in queued.items():
            states = self.of_service(service)
            for state in states:
                worker_id = state.endpoint.worker_id
                share = -(-count // len(states))
                wanted[worker_id] = wanted.get(worker_id, 0) + share
        demands = []
        for worker_id, state in self._endpoints.items():
            in_use = state.take_peak() + wanted.get(worker_id, 0)
            if in_use:
                demands.append(SlotDemand(worker_id=worker_id, in_use=in_use))
        return tuple(demands)

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self._endpoints.values())
