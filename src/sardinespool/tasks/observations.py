"""Latest reports of workers about themselves and their tasks."""

from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import TaskReport
from sardinespool.tasks.record import TaskRecord


class Observations:
    """Latest heartbeat of each worker; volatile, on the leader only."""

    def __init__(self) -> None:
        self._heartbeats: dict[str, Heartbeat] = {}
        self._reports: dict[str, dict[str, TaskReport]] = {}

    def clear(self) -> None:
        """Remove all heartbeats."""
        self._heartbeats = {}
        self._reports = {}

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store a heartbeat unless it was overtaken by a later one."""
        previous = self._heartbeats.get(heartbeat.worker_id)
        if previous is not None and (
            (previous.incarnation, previous.sent_unix_ms)
            > (heartbeat.incarnation, heartbeat.sent_unix_ms)
        ):
            return
        self._heartbeats[heartbeat.worker_id] = heartbeat
        self._reports[heartbeat.worker_id] = {
            report.task_id: report for report in heartbeat.tasks
        }

    def remove_worker(self, worker_id: str) -> None:
        """Remove the heartbeat of a worker."""
        self._heartbeats.pop(worker_id, None)
        self._reports.pop(worker_id, None)

    def usage_of(self, task: TaskRecord) -> TaskReport | None:
        """Return the latest report of a task's current attempt, if any."""
        report = self._reports.get(task.worker_id, {}).get(task.task_id)
        if report is None or report.attempt != task.attempt:
            return None
        return report

    def request_latency_p99_ms(self, worker_id: str) -> float:
        """Return the request latency that the worker reported, or 0."""
        heartbeat = self._heartbeats.get(worker_id)
        return 0.0 if heartbeat is None else heartbeat.request_latency_p99_ms

    @property
    def worker_ids(self) -> list[str]:
        """Return the ids of the workers with a heartbeat, sorted."""
        return sorted(self._heartbeats)
