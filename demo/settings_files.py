"""Deployment plan and settings files of the demonstration."""

import dataclasses
import pathlib
import secrets
from typing import Any

import yaml

from demo.ports import free_addresses
from demo.shape import DeploymentShape
from demo.shape import WORKERS_PER_RACK

ROLES_BY_CREDENTIAL = {
    "caller-1": ["caller"],
    "worker-fleet": ["worker"],
    # An operator may also approve patches, but not their own.
    "operator-1": ["operator", "approver"],
    "approver-1": ["approver"],
}


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSpec:
    """Description of a process to start.

    `address` is that of its HTTP listener; `arguments` are those of the
    Python interpreter. Only workers have a `record_path`, and only stores a
    `data_folder`.
    """

    name: str
    program: str
    failure_domain: str
    address: str
    arguments: tuple[str, ...]
    record_path: pathlib.Path | None = None
    data_folder: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Processes of a deployment and the tokens by credential name."""

    folder: pathlib.Path
    processes: tuple[ProcessSpec, ...]
    tokens: dict[str, str]
    cluster_token: str

    def processes_of(
        self, program: str, failure_domain: str = ""
    ) -> list[ProcessSpec]:
        """Return the processes of a program, optionally of one failure domain.

        They are ordered by failure domain, as in the shape, then by number.
        """
        return [
            process
            for process in self.processes
            if process.program == program
            and failure_domain in ("", process.failure_domain)
        ]


def write_settings(
    shape: DeploymentShape, folder: pathlib.Path
) -> DeploymentPlan:
    """Choose addresses and tokens and write the settings files.

    Each store, entry and scheduler has a file of its own; all of them share
    the cluster file.
    """
    writer = _SettingsWriter(shape, folder)
    return writer.write()


class _SettingsWriter:
    def __init__(self, shape: DeploymentShape, folder: pathlib.Path) -> None:
        self._shape = shape
        self._folder = folder
        self._tokens = {
            name: secrets.token_hex(16) for name in ROLES_BY_CREDENTIAL
        }
        self._cluster_token = secrets.token_hex(16)
        count = sum(
            2 * domain.stores + domain.entries + 1 + domain.workers
            for domain in shape.domains
        )
        self._addresses = free_addresses(count)
        self._processes: list[ProcessSpec] = []
        self._stores: list[dict[str, Any]] = []
        self._entries: list[dict[str, Any]] = []

    def write(self) -> DeploymentPlan:
        for domain_index, domain in enumerate(self._shape.domains):
            for number in range(1, domain.stores + 1):
                in_global_group = domain_index < self._shape.global_members
                self._add_store(domain.name, number, in_global_group)
            for number in range(1, domain.entries + 1):
                self._add_entry(domain.name, number)
            self._add_scheduler(domain.name)
        for domain in self._shape.domains:
            for number in range(1, domain.workers + 1):
                self._add_worker(domain.name, number)
        self._write_file(
            "cluster",
            {
                "failure_domains": list(self._shape.domain_names),
                "stores": self._stores,
                "entries": self._entries,
                "cluster_token": self._cluster_token,
                "credentials": [
                    {
                        "name": name,
                        "roles": roles,
                        "token": self._tokens[name],
                    }
                    for name, roles in ROLES_BY_CREDENTIAL.items()
                ],
            },
        )
        return DeploymentPlan(
            folder=self._folder,
            processes=tuple(self._processes),
            tokens=self._tokens,
            cluster_token=self._cluster_token,
        )

    def _add_store(
        self, domain: str, number: int, in_global_group: bool
    ) -> None:
        name = f"store-{domain}-{number}"
        http_address = self._addresses.pop()
        groups = ["global"] if in_global_group and number == 1 else []
        self._stores.append(
            {
                "name": name,
                "failure_domain": domain,
                "address": self._addresses.pop(),
                "groups": [*groups, domain],
            }
        )
        data_folder = self._folder / "data" / name
        settings = {
            "http_address": http_address,
            "data_folder": str(data_folder),
            "bootstrap": True,
        }
        self._add_program(
            "store", name, domain, http_address, settings, data_folder
        )

    def _add_entry(self, domain: str, number: int) -> None:
        name = f"entry-{domain}-{number}"
        address = self._addresses.pop()
        self._entries.append(
            {"name": name, "failure_domain": domain, "address": address}
        )
        self._add_program("entry", name, domain, address, {})

    def _add_scheduler(self, domain: str) -> None:
        address = self._addresses.pop()
        settings = {
            "failure_domain": domain,
            "http_address": address,
            "throttle_above": self._shape.throttle_above,
        }
        name = f"scheduler-{domain}-1"
        self._add_program("scheduler", name, domain, address, settings)

    def _add_program(
        self,
        program: str,
        name: str,
        domain: str,
        address: str,
        settings: dict[str, Any],
        data_folder: pathlib.Path | None = None,
    ) -> None:
        common_settings = {"cluster_file": "cluster.yaml", "name": name}
        path = self._write_file(name, common_settings | settings)
        self._processes.append(
            ProcessSpec(
                name=name,
                program=program,
                failure_domain=domain,
                address=address,
                arguments=(
                    "-m",
                    f"sardinespool.programs.{program}.main",
                    "--settings",
                    str(path),
                ),
                data_folder=data_folder,
            )
        )

    def _add_worker(self, domain: str, number: int) -> None:
        name = f"worker-{domain}-{number}"
        address = self._addresses.pop()
        record_path = self._folder / f"{name}.jsonl"
        entries = [
            entry["address"]
            for entry in self._entries
            if entry["failure_domain"] == domain
        ]
        # Workers start at different entries, so that their heartbeats are
        # spread over all of them.
        first_entry = number % len(entries)
        rack = (number - 1) // WORKERS_PER_RACK + 1
        options = {
            "worker-id": name,
            "failure-domain": domain,
            "rack": f"{domain}-rack-{rack}",
            "address": address,
            "entries": ",".join(entries[first_entry:] + entries[:first_entry]),
            "token": self._tokens["worker-fleet"],
            "services": self._shape.service,
            "processors-millicores": str(self._shape.processors_millicores),
            "memory-mb": str(self._shape.memory_mb),
            "record": str(record_path),
        }
        arguments = ["-m", "demo.worker_standin"]
        for key, value in options.items():
            arguments += [f"--{key}", value]
        self._processes.append(
            ProcessSpec(
                name=name,
                program="worker",
                failure_domain=domain,
                address=address,
                arguments=tuple(arguments),
                record_path=record_path,
            )
        )

    def _write_file(self, name: str, content: dict[str, Any]) -> pathlib.Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        return path
