"""Tests of opening hours across time zones, midnight and clock changes."""

import datetime

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders.limits import make_site
from turmericreach.limits import SiteCalendar


def reserved(site, text, lead_s=300.0):
    now = datetime.datetime.fromisoformat(text + "+00:00")
    return SiteCalendar([site], lead_s).reserved_slots(8, now)


@pytest.mark.parametrize(
    ("site", "now", "slots"),
    [
        # Helsinki is UTC+2 in winter; the slots are reserved from 5 minutes before 09:00.
        (make_site(), "2026-01-14T06:54:59", 0),
        (make_site(), "2026-01-14T06:55:00", 4),
        (make_site(), "2026-01-14T14:59:59", 4),
        (make_site(), "2026-01-14T15:00:00", 0),
        # UTC+3 in summer; the clocks changed on 29 March 2026.
        (make_site(), "2026-03-28T06:54:00", 0),
        (make_site(), "2026-03-29T05:55:00", 4),
        (make_site(), "2026-10-25T05:55:00", 0),
        (make_site(), "2026-10-25T06:55:00", 4),
        # A closing time after midnight belongs to the day of the opening.
        (make_site("18:00", "02:00", days=["fri"]), "2026-01-16T23:59:00", 4),
        (make_site("18:00", "02:00", days=["fri"]), "2026-01-17T00:00:00", 0),
        (make_site("18:00", "02:00", days=["fri"]), "2026-01-15T23:00:00", 0),
        # The lead time of an opening at midnight is on the day before.
        (make_site("00:00", "08:00", "Asia/Muscat", days=["sun"]), "2026-01-17T19:56:00", 4),
        (make_site("00:00", "24:00", "Asia/Muscat", days=["sun"]), "2026-01-18T19:59:00", 4),
        (make_site("08:00", "08:00", "Asia/Muscat", days=["sun"]), "2026-01-19T03:59:00", 4),
        # 03:30 is skipped in spring and repeated in autumn; the longer interpretation is used.
        (make_site("03:30", "06:00"), "2026-03-29T00:26:00", 4),
        (make_site("01:00", "03:30"), "2026-10-25T01:29:00", 4),
        (make_site("01:00", "03:30"), "2026-10-25T01:30:00", 0),
        (make_site(share=0.01), "2026-01-14T10:00:00", 1),
        (make_site(share=0.0), "2026-01-14T10:00:00", 0),
    ],
)
def test_reserved_slots(site, now, slots):
    """Guards against a site that opens without its reserved slots."""
    assert reserved(site, now) == slots


def test_shares_add_up_to_all_slots_at_most():
    """Guards against reserving more slots than there are."""
    now = datetime.datetime(2026, 1, 14, 10, tzinfo=datetime.UTC)
    sites = [make_site(share=0.6), make_site(share=0.6)]
    assert SiteCalendar(sites).reserved_slots(8, now) == 8
    with pytest.raises(ValueError, match="time zone"):
        SiteCalendar(sites).reserved_slots(8, now.replace(tzinfo=None))


@settings(derandomize=True, deadline=None)
@given(
    minute=st.integers(0, 365 * 24 * 60),
    opens=st.integers(0, 23),
    closes=st.integers(0, 23),
    zone=st.sampled_from(["Europe/Helsinki", "Asia/Muscat", "Australia/Lord_Howe", "UTC"]),
)
def test_local_clock_within_hours_is_always_reserved(minute, opens, closes, zone):
    """Guards against hours in UTC that deviate from the site's local time."""
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC) + datetime.timedelta(minutes=minute)
    site = make_site(f"{opens:02}:00", f"{closes:02}:00", zone)
    local = now.astimezone(SiteCalendar([site]).sites[0][1]).hour
    within = opens <= local < closes if opens < closes else local >= opens or local < closes
    slots = SiteCalendar([site], 0.0).reserved_slots(8, now)
    assert slots == 4 or not within
    # Only the hour of a clock change may be reserved beyond the local hours.
    around = [(local + step) % 24 for step in (-1, 1)]
    near = any(hour in (opens, closes) for hour in [*around, local])
    assert slots == 0 or within or near
