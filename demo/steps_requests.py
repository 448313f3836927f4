"""Steps for seat checks and bookings."""

import threading
from typing import Any

from demo.caller import HttpResponse
from demo.caller import is_seat_response
from demo.context import check
from demo.context import DemoContext

RESPONSE_TIMEOUT_S = 15.0


def seat_checks_in_each_domain(demo: DemoContext) -> str:
    """Check that an entry of each failure domain answers a seat check."""
    summaries = []
    for domain in demo.shape.domain_names:
        entry = demo.entry_addresses(domain)[0]
        course = f"course-of-{domain}"

        def seat_response_body(
            entry: str = entry, course: str = course
        ) -> Any:
            response = demo.caller.check_seats(entry, course)
            return (
                response.json() if is_seat_response(response, course) else None
            )

        body = demo.wait_for(
            f"an entry of {domain} answers a seat check",
            seat_response_body,
            RESPONSE_TIMEOUT_S,
        )
        summaries.append(f"{domain}: {body['seats']} by {body['worker_id']}")
    return ", ".join(summaries)


def booking_runs_once(demo: DemoContext) -> str:
    """Check that a booking sent twice with the same key runs once."""
    first, second = demo.shape.domain_names[:2]
    entries = (
        demo.entry_addresses(first)[0],
        demo.entry_addresses(second)[-1],
    )
    sequential = [
        _send_booking(demo, entry, f"booking-a-{demo.run_id}")
        for entry in entries
    ]
    concurrent = _send_bookings_concurrently(
        demo, entries, f"booking-b-{demo.run_id}"
    )
    summaries = []
    for order, responses in (
        ("sequentially", sequential),
        ("concurrently", concurrent),
    ):
        bodies = {response.body for response in responses}
        check(
            all(response.outcome == "answered" for response in responses)
            and len(bodies) == 1,
            f"responses to a booking sent twice {order}: {responses}",
        )
        summaries.append(f"{order}: {responses[0].json()['booking_id']}")
    bookings = demo.worker_records("booking")
    check(
        len(bookings) == len(summaries),
        f"unexpected bookings in the record files: {bookings}",
    )
    return (
        f"same response through {first} and {second} "
        f"({', '.join(summaries)}); "
        f"{len(bookings)} bookings in the record files for "
        f"{len(summaries)} keys"
    )


def _send_booking(demo: DemoContext, entry: str, key: str) -> HttpResponse:
    body = {"course": "pan-de-masa-madre", "applicant": key}
    return demo.caller.call(entry, "bookings", "POST", body, key)


def _send_bookings_concurrently(
    demo: DemoContext, entries: tuple[str, ...], key: str
) -> list[HttpResponse]:
    responses: list[HttpResponse] = []
    threads = [
        threading.Thread(
            target=lambda entry=entry: responses.append(
                _send_booking(demo, entry, key)
            )
        )
        for entry in entries
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(len(responses) == len(entries), "a booking got no response")
    return responses
