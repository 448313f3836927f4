"""Elections of two members at once, and on slow links."""

import pathlib

import pytest

from sardinespool.replication.effects import Send
from sardinespool.replication.events import Tick
from sardinespool.replication.messages import PreVoteReply
from sardinespool.replication.messages import PreVoteRequest
from sardinespool.replication.messages import VoteReply
from sardinespool.replication.messages import VoteRequest
from testing.replication.durable_cluster import DurableCluster
from testing.replication.test_single_replica import header
from testing.replication.test_single_replica import LATER_MS
from testing.replication.test_single_replica import ReplicaDriver

CATCH_UP_MS = 4_000
"""Time after which the disk of another member may be lost."""
START_MS = 700
"""Time from the start of a process to its first message."""


def pre_vote_request(sender: str, last_index: int = 2) -> PreVoteRequest:
    return PreVoteRequest(
        header=header(sender, 2),
        proposed_term=3,
        last_index=last_index,
        last_term=2,
        configuration_index=1,
    )


@pytest.mark.parametrize(
    ("is_pre_candidate", "sender", "last_index", "granted"),
    [
        (False, "b#1", 2, True),
        (False, "b#1", 1, False),
        # Of two pre-candidates, the one with the longer log goes on, and of
        # two with the same log that with the higher identity.
        (True, "b#1", 2, True),
        (True, "b#1", 3, True),
        (True, "b#1", 1, False),
    ],
)
def test_one_of_two_pre_candidates_goes_on(
    is_pre_candidate: bool, sender: str, last_index: int, granted: bool
) -> None:
    """Guards against two members that vote for themselves in each term."""
    driver = ReplicaDriver()
    if is_pre_candidate:
        assert driver.handle(Tick())
    effects = driver.receive(pre_vote_request(sender, last_index))
    (reply,) = [
        effect.message
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, PreVoteReply)
    ]
    assert reply.granted == granted
    # A late reply to its own request makes no candidate of one that yielded.
    effects = driver.receive(
        PreVoteReply(header=header(term=2), proposed_term=3, granted=True)
    )
    campaigns = any(
        isinstance(effect, Send) and isinstance(effect.message, VoteRequest)
        for effect in effects
    )
    assert campaigns == (is_pre_candidate and not granted)


def test_member_that_grants_a_pre_vote_waits_for_the_election() -> None:
    """Guards against an election beside the one that was just granted."""
    driver = ReplicaDriver()
    driver.receive(pre_vote_request("b#1"))
    assert driver.handle(Tick(), LATER_MS + 500) == []
    assert driver.handle(Tick(), LATER_MS + 700) != []


@pytest.mark.parametrize("request_type", [PreVoteRequest, VoteRequest])
def test_requests_are_repeated_until_granted(request_type: type) -> None:
    """Guards against an election that waits for one lost packet."""
    driver = ReplicaDriver()
    driver.handle(Tick())
    if request_type is VoteRequest:
        driver.receive(
            PreVoteReply(header=header(term=2), proposed_term=3, granted=True)
        )

    def recipients(at_ms: int) -> list[str]:
        return [
            effect.message.header.recipient
            for effect in driver.handle(Tick(), at_ms)
            if isinstance(effect, Send)
            and isinstance(effect.message, request_type)
        ]

    assert recipients(LATER_MS + 100) == []
    assert "c#1" in recipients(LATER_MS + 160)
    assert recipients(LATER_MS + 170) == []
    assert "c#1" in recipients(LATER_MS + 320)
    if request_type is VoteRequest:
        driver.receive(VoteReply(header=header(), granted=True))
        assert recipients(LATER_MS + 500) == []


@pytest.mark.parametrize("seed", range(16))
def test_lost_voter_is_replaced_in_time_on_slow_links(
    seed: int, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a replacement that outlasts the catch-up time."""
    cluster = DurableCluster(3, seed, tmp_path, monkeypatch)
    cluster.submit_many(10)
    cluster.network.delay_max_ms = 100
    cluster.run(1_000)
    while not cluster.leaders():
        cluster.run(10)
    lost = cluster.leaders()[0].name
    cluster.lose_disk(lost)
    cluster.run(START_MS)
    cluster.start(lost)
    returned = cluster.nodes[lost].replica
    assert returned is not None
    end_ms = cluster.now_ms + CATCH_UP_MS
    while returned.status().identity not in voters_of(cluster):
        assert cluster.now_ms < end_ms
        cluster.run(10)


def voters_of(cluster: DurableCluster) -> tuple[str, ...]:
    """Return the identities of the voters, or none without a leader."""
    for node in cluster.leaders():
        assert node.replica is not None
        return node.replica.status().voters
    return ()
