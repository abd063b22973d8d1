"""Blank the comments of a document before it is parsed.

Comments give way to as many spaces, so that the parser's line numbers are
those of the document. Each character is looked at once, whatever the
document holds: a string that isn't closed ends with its line and a comment
that isn't closed with the text.
"""

import re

from returns.result import Failure, Result, Success

from goldcrestwharf.documents._flaws import FLAW_FINDERS, Flaw

_TOKEN = re.compile(
    r'"(?:\\[^\r\n]|[^"\\\r\n])*+(?:"|(?P<string>\\?(?=[\r\n])|\\?\Z))'
    r'|//[^\r\n]*|/\*.*?(?:\*/|(?P<comment>\Z))'
    r'|(?P<open>[\[{])|[\]}]',
    re.DOTALL,
)
_NOT_LINE_END = re.compile(r'[^\r\n]')
_CLOSING = frozenset(('}', ']'))


def blank_comments(written: str) -> Result[str, Flaw]:
    """Return the text without comments, or the first flaw."""
    scanner = _Scanner()
    blanked = _TOKEN.sub(scanner.replace, written)
    if scanner.flaw is None:
        return Success(blanked)
    return Failure(scanner.flaw)


class _Scanner:
    """Replace the tokens of one document and keep the first flaw."""

    def __init__(self) -> None:
        """Start at the head of the document."""
        self.flaw: Flaw | None = None
        self._depth = 0

    def replace(self, match: re.Match[str]) -> str:
        """Return what stands for a token in the blanked text."""
        token = match.group()
        kind = match.lastgroup
        if kind is not None:
            self._check(match, kind)
        elif token in _CLOSING:
            self._depth -= 1
        if token[0] == '/':
            return _NOT_LINE_END.sub(' ', token)
        return token

    def _check(self, match: re.Match[str], kind: str) -> None:
        if kind == 'open':
            self._depth += 1
        if self.flaw is None:
            self.flaw = FLAW_FINDERS[kind](match, self._depth)
