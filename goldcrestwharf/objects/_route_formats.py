"""Define the formats of the hosts and paths of routes."""

from goldcrestwharf.objects._text_format import KnownMistake, TextFormat

_BARE_HOST = 'write the host name alone, such as "menu.example"'
_PLAIN_PATH = 'write the start of the path alone, such as "/menu"'

HOST = TextFormat(
    pattern=(
        '(?!.{254})[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
        r'(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*'
    ),
    mistakes=(
        KnownMistake(
            pattern='/',
            reason='holds more than a host name',
            remedy=_BARE_HOST,
        ),
        KnownMistake(
            pattern=':',
            reason='holds a port, which no request is matched by',
            remedy=_BARE_HOST,
        ),
        KnownMistake(
            pattern=r'\*',
            reason='holds a wildcard, which is not known here',
            remedy='write a route for each host, or leave it out for any',
        ),
        KnownMistake(
            pattern='[A-Z]',
            reason='has upper-case letters, which never match',
            remedy='write it in lower case',
        ),
        KnownMistake(
            pattern=r'[^\x00-\x7f]',
            reason='has letters outside ASCII, which never match',
            remedy='write the ASCII form that starts with "xn--"',
        ),
        KnownMistake(
            pattern='',
            reason='is not a host name',
            remedy=_BARE_HOST,
        ),
    ),
)

PATH = TextFormat(
    pattern=(
        r"(?!.*//|.*/\.\.?(/|$))/([A-Za-z0-9._~!$&'()+,;=:@/-]"
        '|%[0-9A-Fa-f]{2})*'
    ),
    mistakes=(
        KnownMistake(
            pattern='^[^/]|^$',
            reason='does not start with a slash, so it never matches',
            remedy='put "/" in front of it',
        ),
        KnownMistake(
            pattern='[?#]',
            reason='holds a query or fragment, which no request is matched by',
            remedy=_PLAIN_PATH,
        ),
        KnownMistake(
            pattern=r'\*',
            reason='holds a wildcard, which is not known here',
            remedy='leave it out: every path that starts so matches',
        ),
        KnownMistake(
            pattern=r'//|/\.\.?(/|$)',
            reason='has an empty or dotted part, so it never matches',
            remedy='write each part of the path once, without dots',
        ),
        KnownMistake(
            pattern='',
            reason='has characters that no path has',
            remedy='write them percent-encoded, such as "%20" for a space',
        ),
    ),
)
