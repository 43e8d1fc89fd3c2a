"""Limits that targets name."""

from turmericreach.sharing import LimitTable, parse_rate


def test_overtaken_response_without_a_limit_does_not_end_the_limit():
    """Guards against a limit that ends because an older response arrives later."""
    table = LimitTable()
    assert table.record("t1", 2.0, sent_at=1.0, now=1.5)
    assert not table.record("t1", None, sent_at=1.4, now=1.6)
    assert table.per_s("t1") == 2.0
    assert table.record("t1", None, sent_at=1.55, now=1.7)
    assert table.per_s("t1") is None


def test_limit_field_takes_plain_decimal_numbers_only():
    """Guards against a rate of infinity, of no number, or below zero."""
    assert [parse_rate(text) for text in ("2", " 2.5 ", "0")] == [2.0, 2.5, 0.0]
    for text in (None, "", "nan", "inf", "-1", "1e9", "2,5", "1" * 40):
        assert parse_rate(text) is None
