from snipespring.decisions import rules as rls
from snipespring.records import Rule


def rules_of(text: str) -> list[Rule]:
    parsed = rls.parse_rules(text.encode())
    assert isinstance(parsed, rls.ParsedRules)
    return [placed.rule for placed in parsed.rules]


def test_differences_by_identity_whatever_the_order() -> None:
    old = rules_of(
        "organisation a rate=1/s # Nora\norganisation b rate=1/s # Nora\n"
        "organisation c rate=1/s # Nora\n"
    )
    new = rules_of(
        "organisation d rate=1/s # Aoife\norganisation c rate=1/s # Nora\n"
        "organisation a rate=2/s # Aoife\n"
    )
    found = rls.diff_rules(old, new)
    assert found == (
        rls.Changed(old=old[0], new=new[2]),
        rls.Removed(rule=old[1]),
        rls.Added(rule=new[0]),
    )
    assert [rls.render_difference(difference) for difference in found] == [
        "- organisation a rate=1/s  # Nora\n+ organisation a rate=2/s  # Aoife",
        "- organisation b rate=1/s  # Nora",
        "+ organisation d rate=1/s  # Aoife",
    ]
    assert rls.diff_rules(new, reversed(new)) == ()
