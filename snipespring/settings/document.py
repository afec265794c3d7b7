"""Read a YAML document and the line of each of its fields."""

import yaml
from attrs import define, field, frozen

from .records import SettingsProblem, SettingsProblems

__all__ = ["Document", "read_document"]

FieldPath = tuple[str, ...]


@frozen(kw_only=True)
class Document:
    """Hold plain data and the lines, counted from 1, that its fields stand on."""

    file: str
    content: object
    lines: dict[FieldPath, int]

    def make_problem(self, path: FieldPath, reason: str) -> SettingsProblem:
        """Report a field at its line, or at that of the nearest field around it."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        return SettingsProblem(
            file=self.file,
            line=self.lines.get(known, 1),
            field=".".join(path),
            reason=reason,
        )


def read_document(text: str, file: str) -> Document | SettingsProblems:
    """Read one YAML document without aliases and duplicate fields."""
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
    for event in yaml.parse(text, Loader=yaml.SafeLoader):
        if isinstance(event, yaml.AliasEvent):
            line = event.start_mark.line + 1 if event.start_mark else 0
            return _single_problem(file, line, "aliases are not allowed")
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is None:
        return _single_problem(file, 0, "the file is empty")
    fields = _FieldLineCollector(file=file)
    fields.visit(node, ())
    if fields.problems:
        return SettingsProblems(problems=tuple(fields.problems))
    content = yaml.safe_load(text)
    return Document(file=file, content=content, lines=fields.lines)


@define(kw_only=True)
class _FieldLineCollector:
    """Collect the line of each field and fields that are given twice."""

    file: str
    lines: dict[FieldPath, int] = field(factory=dict)
    problems: list[SettingsProblem] = field(factory=list)

    def visit(self, node: yaml.Node, path: FieldPath) -> None:
        """Collect the fields of a node and of those inside it."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if not isinstance(node, yaml.MappingNode):
            return
        for key, value in node.value:
            self._visit_field(key, value, path)

    def _visit_field(self, key: yaml.Node, value: yaml.Node, path: FieldPath) -> None:
        inner = (*path, str(key.value))
        line = key.start_mark.line + 1
        if inner in self.lines:
            self.problems.append(
                SettingsProblem(
                    file=self.file,
                    line=line,
                    field=".".join(inner),
                    reason=f"given twice, first on line {self.lines[inner]}",
                )
            )
            return
        self.lines[inner] = line
        self.visit(value, inner)


def _single_problem(file: str, line: int, reason: str) -> SettingsProblems:
    problem = SettingsProblem(file=file, line=line, field="", reason=reason)
    return SettingsProblems(problems=(problem,))
