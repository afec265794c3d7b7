"""Split one line of a rules text into words and the comment."""

import re

from attrs import frozen

from .records import RuleProblem

__all__ = ["RuleLine", "Word", "split_line"]

LINE_LENGTH_MAX = 4096
WORD_SHOWN_MAX = 80
_WORD = re.compile(r"[^ \t]+")
_BLANKS = " \t"


@frozen(kw_only=True)
class Word:
    """Represent a word and its start column, counted from 1."""

    text: str
    column: int

    def make_problem(self, line: int, reason: str) -> RuleProblem:
        """Return a problem that points at this word."""
        shown = self.text[:WORD_SHOWN_MAX]
        return RuleProblem(line=line, column=self.column, word=shown, reason=reason)


@frozen(kw_only=True)
class RuleLine:
    """List the words of a line.

    `asked_by` is the comment, which names who asked for the rule. Columns are counted
    from 1.
    """

    line: int
    words: tuple[Word, ...]
    asked_by: str
    comment_column: int


def split_line(content: bytes, line: int) -> RuleLine | RuleProblem:
    """Return the words of one line, or a problem at the first invalid character."""
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as exc:
        column = len(content[: exc.start].decode("utf-8")) + 1
        return Word(text="", column=column).make_problem(line, "not valid UTF-8")
    if len(text) > LINE_LENGTH_MAX:
        reason = f"a line has at most {LINE_LENGTH_MAX} characters"
        return Word(text=text, column=LINE_LENGTH_MAX + 1).make_problem(line, reason)
    if not text.replace("\t", " ").isprintable():
        return _report_unprintable(text, line)
    body, _, comment = text.partition("#")
    words = tuple(
        Word(text=matched[0], column=matched.start() + 1)
        for matched in _WORD.finditer(body)
    )
    return RuleLine(
        line=line,
        words=words,
        asked_by=comment.strip(_BLANKS),
        comment_column=len(body) + 1,
    )


def _report_unprintable(text: str, line: int) -> RuleProblem:
    index = next(
        index
        for index, char in enumerate(text)
        if char != "\t" and not char.isprintable()
    )
    reason = f"character U+{ord(text[index]):04X} is not allowed"
    return Word(text="", column=index + 1).make_problem(line, reason)
