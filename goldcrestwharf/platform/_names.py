"""Names of the headers and environment variables of the platform."""

from goldcrestwharf.proxy import HeaderNames

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'GOLDCRESTWHARF_BOOT'

#: Environment variable with the address at which other daemons reach this
#: one, if it differs from the one that it listens on.
ADVERTISED_VARIABLE = 'GOLDCRESTWHARF_ADVERTISED_PEERS'

#: Header of the store with the number of times that it came back from a copy,
#: in lower case.
STORE_EPOCH_HEADER = b'store-era'

HEADERS = HeaderNames(
    request_id=b'Request-Id',
    deadline=b'Deadline-Ms',
    expected_instance=b'Expect-Instance',
    caller=b'Caller-Service',
    proof=b'Response-Seal',
    not_run=b'Not-Executed',
    instance=b'Instance-Id',
    limit=b'Server-Limit',
    leaving=b'Server-Leaving',
    workspace=b'Tenant-Id',
)
