"""Opening hours of sites, and the slots reserved during them."""

import datetime
import math
import zoneinfo

__all__ = ["SiteCalendar"]

DAYS = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"]
DAY = datetime.timedelta(days=1)
ROUNDING_TOLERANCE = 1e-9


class SiteCalendar:
    """Calendar of the slots reserved for ordinary requests of open or soon opening sites.

    Parameters
    ----------
    sites : iterable of SiteSpec
    lead_s : float
        Seconds before the opening time at which a site's slots become reserved.
    """

    def __init__(self, sites, lead_s=300.0):
        self.sites = [(site, zoneinfo.ZoneInfo(site.time_zone)) for site in sites]
        self.lead = datetime.timedelta(seconds=lead_s)

    def reserved_slots(self, slots, now):
        """Return the number of slots to reserve, rounded up, at most all of them.

        Parameters
        ----------
        slots : int
            Slots of the target.
        now : datetime.datetime
            Time with a time zone.

        Returns
        -------
        int

        Raises
        ------
        ValueError
            If the time has no time zone.
        """
        share = sum(
            site.reserved_share for site, zone in self.sites if self.is_reserved(site, zone, now)
        )
        return min(slots, math.ceil(slots * share - ROUNDING_TOLERANCE))

    def open_sites(self, now):
        """Return the names of the sites whose slots are reserved at a time."""
        return [site.name for site, zone in self.sites if self.is_reserved(site, zone, now)]

    def is_reserved(self, site, zone, now):
        """Return whether the slots of a site are reserved at a time."""
        if now.tzinfo is None:
            raise ValueError("the time must have a time zone")
        now = now.astimezone(datetime.UTC)
        today = now.astimezone(zone).date()
        last = (now + self.lead).astimezone(zone).date()
        day = today - DAY
        while day <= last:
            if DAYS[day.weekday()] in site.days:
                opens, closes = opening_interval(site, zone, day)
                if opens - self.lead <= now < closes:
                    return True
            day += DAY
        return False


def opening_interval(site, zone, day):
    """Return the opening and closing times in UTC of a day on which the site opens.

    A closing time that is not after the opening time is on the next day, so equal times mean 24
    hours.
    """
    opens_day, opens_at = local_time(day, site.opens)
    closes_day, closes_at = local_time(day, site.closes)
    if (closes_day, closes_at) <= (opens_day, opens_at):
        closes_day += DAY
    return min(utc_times(opens_day, opens_at, zone)), max(utc_times(closes_day, closes_at, zone))


def local_time(day, text):
    """Return the date and time of ``HH:MM`` on a day; ``24:00`` is midnight at its end."""
    if text == "24:00":
        return day + DAY, datetime.time()
    return day, datetime.time.fromisoformat(text)


def utc_times(day, time, zone):
    """Return the two interpretations of a local time as times in UTC.

    They differ if a clock change repeats or skips the local time. Callers use the one that reserves
    the slots for longer.
    """
    local = datetime.datetime.combine(day, time, zone)
    return [local.replace(fold=fold).astimezone(datetime.UTC) for fold in (0, 1)]
