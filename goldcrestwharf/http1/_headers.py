"""Select the header lines to forward, and parse a content length."""

from goldcrestwharf.http1._messages import Headers

#: Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which
#: is set again.
_HOP_BY_HOP = frozenset(
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

#: Digits of the greatest number of 64 bits.
_MAX_LENGTH_DIGITS = 20


def render_end_to_end(headers: Headers, *, without: frozenset[bytes]) -> bytes:
    """Return the end-to-end headers as header lines.

    ``without`` lists further headers to leave out, in lower case. Headers
    that ``Connection`` names are left out too.
    """
    dropped = _HOP_BY_HOP | without
    connection_options = _find_connection_options(headers)
    if connection_options:
        dropped |= connection_options
    return b''.join(
        b'%b: %b\r\n' % pair
        for pair in headers
        if pair[0].lower() not in dropped
    )


def _find_connection_options(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        option.strip().lower()
        for name, listed in headers
        if name.lower() == _CONNECTION
        for option in listed.split(b',')
    )


def parse_length(written: bytes) -> int | None:
    """Return a content length, ``None`` if ``written`` isn't decimal.

    It may have any number of leading zeros, while ``int`` limits the digits.
    The parsers reject lengths above 64 bits.
    """
    digits = written.lstrip(b'0')
    if not written.isdigit() or len(digits) > _MAX_LENGTH_DIGITS:
        return None
    return int(digits or b'0')
