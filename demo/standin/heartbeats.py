"""Heartbeats that a stand-in worker sends to entries."""

import dataclasses

import msgspec
import tornado.httpclient

from sardinespool.messages.tasks import Heartbeat
from sardinespool.messages.tasks import HeartbeatReply

# Short enough to try other entries before the lease of 6 s expires.
REQUEST_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class HeartbeatSender:
    """Sends heartbeats to one entry; switches to the next one on failure."""

    entries: tuple[str, ...]
    token: str
    _entry_index: int = 0

    async def send(self, heartbeat: Heartbeat) -> HeartbeatReply | None:
        """Return the reply, or None if no entry sent a valid one."""
        client = tornado.httpclient.AsyncHTTPClient()
        body = msgspec.json.encode(heartbeat)
        for _ in self.entries:
            entry = self.entries[self._entry_index % len(self.entries)]
            request = tornado.httpclient.HTTPRequest(
                f"http://{entry}/v1/heartbeat",
                method="POST",
                headers={
                    "Authorization": f"Bearer {self.token}",
                    "Content-Type": "application/json",
                },
                body=body,
                connect_timeout=REQUEST_TIMEOUT_S,
                request_timeout=REQUEST_TIMEOUT_S,
            )
            try:
                response = await client.fetch(request)
                return msgspec.json.decode(response.body, type=HeartbeatReply)
            except (
                tornado.httpclient.HTTPError,
                OSError,
                msgspec.MsgspecError,
            ):
                self._entry_index += 1
        return None
