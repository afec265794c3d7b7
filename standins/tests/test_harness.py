import pytest

from standins import harness


def test_a_network_is_given_to_one_user_before_anything_is_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(harness, "FIRST_NETWORK_NUMBER", 250)
    monkeypatch.setattr(harness, "NETWORK_COUNT", 1)
    assert harness.find_free_network() == "127.250"
    with pytest.raises(OSError, match="all 1 loopback networks are in use"):
        harness.find_free_network()
