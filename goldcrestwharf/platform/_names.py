"""Name what the platform's processes say on the wire."""

from goldcrestwharf.proxy import HeaderNames

#: The variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'GOLDCRESTWHARF_BOOT'

#: The variable that holds the address at which other daemons reach this one,
#: if it is not the one that it listens on.
ADVERTISED_VARIABLE = 'GOLDCRESTWHARF_ADVERTISED_PEERS'

HEADERS = HeaderNames(
    request_id=b'Request-Id',
    deadline=b'Deadline-Ms',
    expected_instance=b'Expect-Instance',
    caller=b'Caller-Service',
    proof=b'Response-Seal',
    not_run=b'Not-Executed',
    instance=b'Instance-Id',
)
