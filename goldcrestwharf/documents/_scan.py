"""Replace the comments of a document with spaces before it is parsed.

Each character of a comment except line ends is replaced with a space, so that
the parser's line numbers are those of the document. The scan takes linear time
for any input: a string that isn't closed ends at the end of its line, and a
comment that isn't closed at the end of the document.
"""

import re

from returns.result import Failure, Result, Success

from goldcrestwharf.documents._parse_failures import PARSE_CHECKS, ParseFailure

# The named groups are the tokens to check: an opening bracket, and a string or
# comment that isn't closed. Closed ones match without a group.
_TOKEN = re.compile(
    r'"(?:\\[^\r\n]|[^"\\\r\n])*+(?:"|(?P<unclosed_string>\\?(?=[\r\n])|\\?\Z))'
    r'|//[^\r\n]*|/\*.*?(?:\*/|(?P<unclosed_comment>\Z))'
    r'|(?P<opening_bracket>[\[{])|[\]}]',
    re.DOTALL,
)
_NOT_LINE_END = re.compile(r'[^\r\n]')
_CLOSING = frozenset(('}', ']'))


def blank_comments(text: str) -> Result[str, ParseFailure]:
    """Return the document without comments, or the first failure."""
    scanner = _Scanner()
    blanked = _TOKEN.sub(scanner.replace, text)
    if scanner.failure is None:
        return Success(blanked)
    return Failure(scanner.failure)


class _Scanner:
    """The state of scanning one document: its depth and first failure."""

    def __init__(self) -> None:
        """Start at the beginning of the document."""
        self.failure: ParseFailure | None = None
        self._depth = 0

    def replace(self, match: re.Match[str]) -> str:
        """Return the replacement of a token in the blanked document."""
        token = match.group()
        kind = match.lastgroup
        if kind is not None:
            self._check_token(match, kind)
        elif token in _CLOSING:
            self._depth -= 1
        if token[0] == '/':
            return _NOT_LINE_END.sub(' ', token)
        return token

    def _check_token(self, match: re.Match[str], kind: str) -> None:
        if kind == 'opening_bracket':
            self._depth += 1
        if self.failure is None:
            self.failure = PARSE_CHECKS[kind](match, self._depth)
