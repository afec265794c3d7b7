from snipespring.decisions import rules as rules_api
from snipespring.records import Rule


def parse(text: str) -> list[Rule]:
    parsed = rules_api.parse_rules(text.encode())
    assert isinstance(parsed, rules_api.ParsedRules)
    return [numbered.rule for numbered in parsed.rules]


def test_differences_do_not_depend_on_the_order_of_rules() -> None:
    old = parse(
        "organisation a rate=1/s # Nora\norganisation b rate=1/s # Nora\n"
        "organisation c rate=1/s # Nora\n"
    )
    new = parse(
        "organisation d rate=1/s # Aoife\norganisation c rate=1/s # Nora\n"
        "organisation a rate=2/s # Aoife\n"
    )
    differences = rules_api.diff_rules(old, new)
    assert differences == (
        rules_api.Changed(old=old[0], new=new[2]),
        rules_api.Removed(rule=old[1]),
        rules_api.Added(rule=new[0]),
    )
    assert [rules_api.render_difference(difference) for difference in differences] == [
        "- organisation a rate=1/s  # Nora\n+ organisation a rate=2/s  # Aoife",
        "- organisation b rate=1/s  # Nora",
        "+ organisation d rate=1/s  # Aoife",
    ]
    assert rules_api.diff_rules(new, reversed(new)) == ()
