"""Define the formats of the hosts and paths of routes."""

from goldcrestwharf.objects._text_format import KnownMistake, TextFormat

_BARE_HOST = 'write only the host name, such as "menu.example"'
_PLAIN_PATH = 'write only the start of the path, such as "/menu"'

HOST = TextFormat(
    pattern=(
        '(?!.{254})[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
        r'(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*'
    ),
    mistakes=(
        KnownMistake(
            pattern='/',
            reason='contains more than a host name',
            remedy=_BARE_HOST,
        ),
        KnownMistake(
            pattern=':',
            reason='holds a port, which no request is matched by',
            remedy=_BARE_HOST,
        ),
        KnownMistake(
            pattern=r'\*',
            reason='contains a wildcard, which is not supported',
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
            reason='contains a query or fragment, which routes do not match',
            remedy=_PLAIN_PATH,
        ),
        KnownMistake(
            pattern=r'\*',
            reason='contains a wildcard, which is not supported',
            remedy='remove it: every path with this prefix matches',
        ),
        KnownMistake(
            pattern=r'//|/\.\.?(/|$)',
            reason='has an empty or dotted part, so it never matches',
            remedy='write each part of the path once, without dots',
        ),
        KnownMistake(
            pattern='',
            reason='contains characters that are not valid in a path',
            remedy='write them percent-encoded, such as "%20" for a space',
        ),
    ),
)
