"""Decide which header lines are passed on."""

from goldcrestwharf.http1._messages import Headers

#: Headers that concern one connection alone (RFC 9110, section 7.6.1), and
#: the length, which is written anew.
_PER_CONNECTION = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_CONNECTION = b'connection'


def render_passed_on(headers: Headers, *, without: frozenset[bytes]) -> bytes:
    """Return the header lines that go on to the next connection.

    ``without`` names further headers to leave out, in lower case. What the
    ``Connection`` header names is left out too.
    """
    dropped = _PER_CONNECTION | without
    nominated = _find_nominated(headers)
    if nominated:
        dropped |= nominated
    return b''.join(
        b'%b: %b\r\n' % pair
        for pair in headers
        if pair[0].lower() not in dropped
    )


def _find_nominated(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        option.strip().lower()
        for name, listed in headers
        if name.lower() == _CONNECTION
        for option in listed.split(b',')
    )
