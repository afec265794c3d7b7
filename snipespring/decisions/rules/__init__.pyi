from .assembly import assemble_rules, parse_segment
from .check import check_address, check_rules
from .configuration import make_configuration
from .diff import diff_rules, render_difference
from .identity import identify_rule
from .lookup import find_request_route, find_route
from .parse import parse_rules
from .quantities import parse_duration_s
from .records import (
    Added,
    Changed,
    CheckedRules,
    InvalidValue,
    NumberedRule,
    ParsedRules,
    ParsedSegment,
    Removed,
    RootRecord,
    RuleDifference,
    RuleIdentity,
    RuleProblem,
    RuleProblems,
    Segment,
)
from .render import render_problem, render_rule, render_rules
from .segments import (
    join_segments,
    list_missing_segments,
    make_root,
    split_into_segments,
    verify_segment,
)
from .values import parse_address

__all__ = [
    "Added",
    "Changed",
    "CheckedRules",
    "InvalidValue",
    "ParsedRules",
    "ParsedSegment",
    "NumberedRule",
    "Removed",
    "RootRecord",
    "RuleDifference",
    "RuleIdentity",
    "RuleProblem",
    "RuleProblems",
    "Segment",
    "assemble_rules",
    "check_address",
    "check_rules",
    "diff_rules",
    "find_request_route",
    "find_route",
    "identify_rule",
    "join_segments",
    "make_configuration",
    "make_root",
    "list_missing_segments",
    "parse_address",
    "parse_duration_s",
    "parse_rules",
    "parse_segment",
    "render_difference",
    "render_problem",
    "render_rule",
    "render_rules",
    "split_into_segments",
    "verify_segment",
]
