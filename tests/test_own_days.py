"""Days of our own for the users' bench."""

from __future__ import annotations

import tomllib

from bench import own_days

KINDS = [{"kind": f"kind-{number}", "share": 0.5, "how": 'a "b" \\ c'} for number in range(20)]
PLANNED = {"roll_term", "revoke"}
SITE = {
    "troubles": [*KINDS, *({"kind": kind} for kind in sorted(PLANNED))],
    "day": [
        {"name": "quiet-1", "slot": "quiet", "seed": 1},
        {"name": "t", "slot": "trouble", "seed": 2, "light": True, "goal": {"floor": 0.4}},
    ],
}


def test_every_trouble_strikes_and_three_at_each_moment():
    days = [tomllib.loads(text) for text in own_days.make_days(SITE, "x", 7).values()]
    assert len(days) == 2
    struck = set()
    for day in days:
        entries = day["plan"] + day["faults"]
        struck |= {entry["kind"] for entry in entries}
        for moment in own_days.MOMENTS:
            together = [entry for entry in entries if 0 <= entry["at"] - moment < 1]
            assert len(together) == own_days.GROUP
    assert struck == {entry["kind"] for entry in SITE["troubles"]}


def test_planned_work_stands_apart_and_the_rest_of_the_day_is_the_sites():
    for text in own_days.make_days(SITE, "x", 7).values():
        day = tomllib.loads(text)
        assert all(entry["kind"] in PLANNED for entry in day["plan"])
        assert all(entry["kind"] not in PLANNED for entry in day["faults"])
        assert day["goal"] == {"floor": 0.4}
        assert day["light"] is True
        assert day["faults"][0]["how"] == 'a "b" \\ c'


def test_a_seed_gives_the_same_days_and_another_one_others():
    assert own_days.make_days(SITE, "x", 7) == own_days.make_days(SITE, "x", 7)
    assert own_days.deal(KINDS, 7) != own_days.deal(KINDS, 8)


def test_the_command_writes_files_and_tells_what_is_wrong(tmp_path, capsys):
    site = tmp_path / "site.toml"
    site.write_text(
        'troubles = [{ kind = "srv_slow" }]\n[[day]]\nname = "t"\nslot = "trouble"\nseed = 1\n'
    )
    out = tmp_path / "days"
    assert own_days.main(["own_days", str(site), str(out), "--seed", "3"]) == 0
    assert [path.name for path in out.iterdir()] == ["site-own-3-1.toml"]
    assert own_days.main(["own_days", str(site)]) == 2
    assert own_days.main(["own_days", str(tmp_path / "none.toml"), str(out)]) == 2
    assert "error:" in capsys.readouterr().err
