"""Parse a YAML document and record the line of each field."""

import yaml
from attrs import define, field, frozen

from .records import SettingsProblem, SettingsProblems

__all__ = ["Document", "read_document"]

MAX_DEPTH = 32

FieldPath = tuple[str, ...]


@frozen(kw_only=True)
class Document:
    """Represent a parsed document with the line of each field, counted from 1."""

    file: str
    content: object
    lines: dict[FieldPath, int]

    def make_problem(self, path: FieldPath, reason: str) -> SettingsProblem:
        """Return a problem of a field, at its line or that of the enclosing field."""
        located = path
        while located and located not in self.lines:
            located = located[:-1]
        return SettingsProblem(
            file=self.file,
            line=self.lines.get(located, 1),
            field=".".join(path),
            reason=reason,
        )


def read_document(text: str, file: str) -> Document | SettingsProblems:
    """Parse a YAML document; aliases, duplicate fields and deep values are problems."""
    try:
        return _compose_document(text, file)
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark
        line = mark.line + 1 if mark is not None else 0
        return _single_problem(file, line, f"not valid YAML: {exc.problem}")
    except (yaml.YAMLError, ValueError) as exc:
        return _single_problem(file, 0, f"not valid YAML: {' '.join(str(exc).split())}")
    except RecursionError:
        return _single_problem(file, 0, "not valid YAML: nested too deeply")


def _compose_document(text: str, file: str) -> Document | SettingsProblems:
    depth = 0
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        match event:
            case yaml.AliasEvent():
                line = event.start_mark.line + 1 if event.start_mark else 0
                return _single_problem(file, line, "aliases are not allowed")
            case yaml.CollectionStartEvent():
                depth += 1
            case yaml.CollectionEndEvent():
                depth -= 1
        if depth > MAX_DEPTH:
            return _single_problem(file, 0, "not valid YAML: nested too deeply")
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is None:
        return _single_problem(file, 0, "the file is empty")
    collector = _FieldLineCollector(file=file)
    collector.visit(node, ())
    if collector.problems:
        return SettingsProblems(problems=tuple(collector.problems))
    content = yaml.safe_load(text)
    return Document(file=file, content=content, lines=collector.lines)


@define(kw_only=True)
class _FieldLineCollector:
    """Collect the line of each field, and report duplicate fields."""

    file: str
    lines: dict[FieldPath, int] = field(factory=dict)
    problems: list[SettingsProblem] = field(factory=list)

    def visit(self, node: yaml.Node, path: FieldPath) -> None:
        """Collect the fields of a node and of its descendants."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if not isinstance(node, yaml.MappingNode):
            return
        for key, value in node.value:
            self._visit_field(key, value, path)

    def _visit_field(self, key: yaml.Node, value: yaml.Node, path: FieldPath) -> None:
        field_path = (*path, str(key.value))
        line = key.start_mark.line + 1
        if field_path in self.lines:
            self.problems.append(
                SettingsProblem(
                    file=self.file,
                    line=line,
                    field=".".join(field_path),
                    reason=f"given twice, first on line {self.lines[field_path]}",
                )
            )
            return
        self.lines[field_path] = line
        self.visit(value, field_path)


def _single_problem(file: str, line: int, reason: str) -> SettingsProblems:
    problem = SettingsProblem(file=file, line=line, field="", reason=reason)
    return SettingsProblems(problems=(problem,))
