"""Steps: seat checks and bookings."""

import threading
from typing import Any

from demo.caller import HttpAnswer
from demo.caller import is_seat_answer
from demo.context import check
from demo.context import Demo

ANSWER_TIMEOUT_S = 15.0


def seats_through_each_domain(demo: Demo) -> str:
    """Check that a seat check is answered through each failure domain."""
    seen = []
    for domain in demo.shape.domain_names:
        entry = demo.entry_addresses(domain)[0]
        course = f"course-of-{domain}"

        def probe(entry: str = entry, course: str = course) -> Any:
            answer = demo.caller.check_seats(entry, course)
            return answer.json() if is_seat_answer(answer, course) else None

        value = demo.wait_for(
            f"a seat check through {domain}", probe, ANSWER_TIMEOUT_S
        )
        seen.append(f"{domain}: {value['seats']} by {value['worker_id']}")
    return ", ".join(seen)


def booking_runs_once(demo: Demo) -> str:
    """Check that a booking sent twice with one key runs once."""
    first, second = demo.shape.domain_names[:2]
    entries = (
        demo.entry_addresses(first)[0],
        demo.entry_addresses(second)[-1],
    )
    in_turn = [
        _book(demo, entry, f"booking-a-{demo.run_id}") for entry in entries
    ]
    at_once = _book_at_once(demo, entries, f"booking-b-{demo.run_id}")
    seen = []
    for name, answers in (("in turn", in_turn), ("at once", at_once)):
        bodies = {answer.body for answer in answers}
        check(
            all(a.outcome == "answered" for a in answers) and len(bodies) == 1,
            f"answers of a booking sent twice {name}: {answers}",
        )
        seen.append(f"{name}: {answers[0].json()['booking_id']}")
    bookings = demo.worker_records("booking")
    check(
        len(bookings) == len(seen),
        f"bookings in the record files: {bookings}",
    )
    return (
        f"through {first} and {second}, the same answer ({', '.join(seen)}); "
        f"{len(bookings)} bookings in the record files for {len(seen)} keys"
    )


def _book(demo: Demo, entry: str, key: str) -> HttpAnswer:
    body = {"course": "pan-de-masa-madre", "applicant": key}
    return demo.caller.call(entry, "bookings", "POST", body, key)


def _book_at_once(
    demo: Demo, entries: tuple[str, ...], key: str
) -> list[HttpAnswer]:
    answers: list[HttpAnswer] = []
    threads = [
        threading.Thread(
            target=lambda entry=entry: answers.append(_book(demo, entry, key))
        )
        for entry in entries
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(len(answers) == len(entries), "a booking got no answer")
    return answers
