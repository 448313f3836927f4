"""Log lines and metrics on workspaces that limits or shares hold back."""

from collections.abc import Mapping

from sardinespool.clock import Instant
from sardinespool.dispatch.metrics import DispatchMetrics
from sardinespool.dispatch.share_order import ShareOrder
from sardinespool.dispatch.start_limits import StartLimits
from sardinespool.dispatch.workspace_holds import WorkspaceHolds
from sardinespool.groups.control_machine import ControlMachine
from sardinespool.observability.logs import get_logger
from sardinespool.workspaces.limits import limit_of

CALM_MS = 1_000
"""Time without a held step after which a workspace is no longer held back; a
workspace at its limit changes from pass to pass."""
METRICS_INTERVAL_MS = 1_000
LABELS_MAX = 200
"""Workspaces with series of their own; the target has 130."""

_LOG = get_logger("workspaces")


class WorkspaceLog:
    """Writes a line when a workspace starts or stops being held back.

    Parameters
    ----------
    machine : ControlMachine
        Replicated state.
    limits : StartLimits
        Limits of the workspaces.
    shares : ShareOrder
        Shares of the workspaces.

    Attributes
    ----------
    held : dict of (str, str) to tuple
        Workspaces held back by "limit" or "share", each with the time until
        which that counts, in milliseconds of the boot clock, and the number
        of steps that wait.
    """

    def __init__(
        self, machine: ControlMachine, limits: StartLimits, shares: ShareOrder
    ) -> None:
        self._machine = machine
        self._limits = limits
        self._shares = shares
        self.held: dict[tuple[str, str], tuple[int, int]] = {}
        self._started: list[tuple[str, str]] = []
        self._labels: set[str] = set()
        self._metrics_due_boot_ms = 0

    def reset(self) -> None:
        """Forget the workspaces that are held back."""
        self.held.clear()
        self._started.clear()

    def update(self, holds: WorkspaceHolds | None, now: Instant) -> None:
        """Apply a planning pass; None if it had no ready steps."""
        if holds is not None:
            self._hold(holds.by_limit, "limit", now)
            self._hold(holds.by_share, "share", now)
        for key, (end_boot_ms, _) in list(self.held.items()):
            if now.boot_ms >= end_boot_ms:
                del self.held[key]
                self._write("workspace no longer held back", key, 0)

    def write_metrics(self, metrics: DispatchMetrics, now: Instant) -> None:
        """Update the metrics of the workspaces once a second."""
        for name, reason in self._started:
            metrics.workspace_holds.inc(
                workspace=self._label(name), reason=reason
            )
        self._started.clear()
        if now.boot_ms < self._metrics_due_boot_ms:
            return
        self._metrics_due_boot_ms = now.boot_ms + METRICS_INTERVAL_MS
        millicores: dict[str, int] = {}
        for name in self._machine.manifest.workspaces_by_name:
            label = self._label(name)
            millicores[label] = (
                millicores.get(label, 0)
                + self._limits.usage.of(name).processors_millicores
            )
        for label, amount in millicores.items():
            metrics.workspace_millicores.set(amount, workspace=label)

    def describe(self) -> dict[str, object]:
        """Return use, limit, share and waiting steps by workspace."""
        return {
            name: self._facts(name)
            | {
                f"waits_for_{reason}_steps": self.held.get(
                    (name, reason), (0, 0)
                )[1]
                for reason in ("limit", "share")
            }
            for name in self._machine.manifest.workspaces_by_name
        }

    def _hold(
        self, waiting: Mapping[str, int], reason: str, now: Instant
    ) -> None:
        for name, steps in waiting.items():
            key = name, reason
            if key not in self.held:
                self._started.append(key)
                self._write("workspace held back", key, steps)
            self.held[key] = now.boot_ms + CALM_MS, steps

    def _write(self, text: str, key: tuple[str, str], steps: int) -> None:
        name, reason = key
        _LOG.info(
            text,
            workspace=name,
            reason=reason,
            waiting_steps=steps,
            **self._facts(name),
        )

    def _facts(self, name: str) -> dict[str, object]:
        workspace = self._machine.manifest.workspaces_by_name.get(name)
        facts: dict[str, object] = {
            "tasks": self._limits.usage.tasks_of(name),
            "share": round(self._shares.share_of(name), 4),
            "weight": 0 if workspace is None else workspace.weight,
        }
        limit = (None,) * 3 if workspace is None else limit_of(workspace)
        in_use = self._limits.usage.of(name)
        for field, used, most in zip(
            in_use._fields, in_use, limit, strict=True
        ):
            facts[field] = used
            facts[f"{field}_max"] = most or 0
        return facts

    def _label(self, name: str) -> str:
        if name not in self._labels:
            if len(self._labels) >= LABELS_MAX:
                return "other"
            self._labels.add(name)
        return name


class UnloggedHolds(WorkspaceLog):
    """Stands for the log in a pass whose plan is not carried out."""

    def update(self, holds: WorkspaceHolds | None, now: Instant) -> None:
        """Do nothing."""
