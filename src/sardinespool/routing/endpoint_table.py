"""Table of the endpoints in the entry's failure domain."""

from collections.abc import Iterator
from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.messages.capacity import EntryView
from sardinespool.messages.capacity import SlotDemand
from sardinespool.routing.endpoint_state import EndpointState
from sardinespool.routing.service_policy import read_policies
from sardinespool.routing.service_policy import ServicePolicy

GROUP_CONTACT_TIMEOUT_MS = 3_000


class EndpointTable:
    """Configuration and endpoints from the last `EntryView`.

    Parameters
    ----------
    entry_count : int
        Number of entries that the settings list for the failure domain.
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
        """Apply a view; an older configuration version is ignored."""
        is_first_view = self.synced_boot_ms is None
        self.synced_boot_ms = now.boot_ms
        self.synced_unix_ms = view.unix_ms
        self.group_incarnation = view.group_incarnation
        if view.configuration is not None and (
            view.configuration.version > self.version
        ):
            self.version = view.configuration.version
            self.policies = read_policies(view.configuration.values)
        if view.endpoints is not None:
            self._replace_endpoints(
                view, None if is_first_view else now.boot_ms
            )
            self.table_version = view.table_version
        grants = {grant.worker_id: grant for grant in view.grants}
        for worker_id, state in self._endpoints.items():
            state.refused_until_next_view = False
            state.set_grant(grants.get(worker_id))

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
            state.update_announcement(endpoint, self._entry_count)
            self._endpoints[endpoint.worker_id] = state
            for service in endpoint.services:
                self._by_service.setdefault(service, []).append(state)

    def is_group_reachable(self, now: Instant) -> bool:
        """Return whether the group answered within the last 3 seconds."""
        return self.synced_boot_ms is not None and (
            now.boot_ms - self.synced_boot_ms <= GROUP_CONTACT_TIMEOUT_MS
        )

    def may_receive(self, worker_id: str, address: str, service: str) -> bool:
        """Return whether a worker serves a service there and is not leaving.

        Checked right before the first byte: a request may hold its slot for
        a long time before that, for example if the entry was suspended. The
        worker's next process may have another address or other services.
        """
        state = self._endpoints.get(worker_id)
        return (
            state is not None
            and not state.endpoint.leaving
            and state.endpoint.address == address
            and service in state.endpoint.services
        )

    def endpoints_for(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service, including leaving ones."""
        return self._by_service.get(service, [])

    def has_endpoint(self, service: str, now: Instant) -> bool:
        """Return whether requests for the service can be sent or queued.

        An endpoint without a usable slot counts while the group is
        reachable, since the next synchronisation may bring a grant.
        """
        is_group_reachable = self.is_group_reachable(now)
        return any(
            state.is_usable(now)
            and (is_group_reachable or state.usable_slots(now) > 0)
            for state in self.endpoints_for(service)
        )

    def usable_slots(self, service: str, now: Instant) -> int:
        """Return the total number of slots available to the service."""
        return sum(
            state.ramped_slots(now)
            for state in self.endpoints_for(service)
            if state.is_usable(now) and not state.is_ejected(now)
        )

    def has_free_slot(self, service: str, now: Instant) -> bool:
        """Return whether a request could be sent immediately."""
        return any(
            state.has_free_slot(now) for state in self.endpoints_for(service)
        )

    def addresses(self) -> frozenset[str]:
        """Return the addresses of all endpoints that are not leaving."""
        return frozenset(
            state.endpoint.address
            for state in self._endpoints.values()
            if not state.endpoint.leaving
        )

    def collect_demands(
        self, queued: Mapping[str, int]
    ) -> tuple[SlotDemand, ...]:
        """Return the peak demand for each endpoint since the last call.

        Parameters
        ----------
        queued : Mapping
            Number of queued requests by service. They are spread evenly over
            the service's endpoints as demand; otherwise an entry without a
            slot would never report that it needs one.
        """
        queued_demand: dict[str, int] = {}
        for service, count in queued.items():
            states = self.endpoints_for(service)
            for state in states:
                worker_id = state.endpoint.worker_id
                share = -(-count // len(states))
                queued_demand[worker_id] = (
                    queued_demand.get(worker_id, 0) + share
                )
        demands = []
        for worker_id, state in self._endpoints.items():
            in_use = state.pop_peak_outstanding() + queued_demand.get(
                worker_id, 0
            )
            if in_use:
                demands.append(SlotDemand(worker_id=worker_id, in_use=in_use))
        return tuple(demands)

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self._endpoints.values())
