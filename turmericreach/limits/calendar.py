"""Opening hours of the sites, and the slots reserved by them."""

import datetime
import math
import zoneinfo

__all__ = ["SiteCalendar"]

DAYS = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"]
DAY = datetime.timedelta(days=1)
ROUNDING = 1e-9


class SiteCalendar:
    """Slots kept for the ordinary requests of sites that are open or about to open.

    Parameters
    ----------
    sites : iterable of SiteSpec
    lead_s : float
        Seconds before the opening from which a site's slots are kept.
    """

    def __init__(self, sites, lead_s=300.0):
        self.sites = [(site, zoneinfo.ZoneInfo(site.time_zone)) for site in sites]
        self.lead = datetime.timedelta(seconds=lead_s)

    def reserved_slots(self, slots, now):
        """Return the slots to keep, rounded up, at most all of them.

        Parameters
        ----------
        now : datetime.datetime
            Time with a time zone.

        Raises
        ------
        ValueError
            If the time has no time zone.
        """
        share = sum(site.reserved_share for site, zone in self.sites if self.keeps(site, zone, now))
        return min(slots, math.ceil(slots * share - ROUNDING))

    def open_sites(self, now):
        """Return the names of the sites whose slots are kept at a time."""
        return [site.name for site, zone in self.sites if self.keeps(site, zone, now)]

    def keeps(self, site, zone, now):
        """Return whether the slots of a site are kept at a time."""
        if now.tzinfo is None:
            raise ValueError("the time must have a time zone")
        now = now.astimezone(datetime.UTC)
        today = now.astimezone(zone).date()
        last = (now + self.lead).astimezone(zone).date()
        day = today - DAY
        while day <= last:
            if DAYS[day.weekday()] in site.days:
                opens, closes = hours(site, zone, day)
                if opens - self.lead <= now < closes:
                    return True
            day += DAY
        return False


def hours(site, zone, day):
    """Return the opening and closing instants of a day on which the site opens.

    A closing time not after the opening time is on the next day; equal times mean all day.
    """
    opens_day, opens_at = local_time(day, site.opens)
    closes_day, closes_at = local_time(day, site.closes)
    if (closes_day, closes_at) <= (opens_day, opens_at):
        closes_day += DAY
    return min(instants(opens_day, opens_at, zone)), max(instants(closes_day, closes_at, zone))


def local_time(day, text):
    """Return the date and time of ``HH:MM``, where ``24:00`` is the next midnight."""
    if text == "24:00":
        return day + DAY, datetime.time()
    return day, datetime.time.fromisoformat(text)


def instants(day, time, zone):
    """Return both readings of a local time in UTC.

    They differ when the clock change repeats or skips the local time. Callers take the reading
    that keeps the slots for longer.
    """
    local = datetime.datetime.combine(day, time, zone)
    return [local.replace(fold=fold).astimezone(datetime.UTC) for fold in (0, 1)]
