"""Name the headers that callers, daemons and targets agree on."""

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Hold header names, as written on the wire.

    ``deadline`` carries milliseconds that are left, ``expected_instance``
    the id of the one target that may run the request, and ``caller`` the
    service beside the daemon where the request began. A target proves its
    answer with ``proof`` and says with ``not_run`` that it didn't run the
    request. ``instance`` names the target that answers.
    """

    request_id: bytes = b'Request-Id'
    deadline: bytes = b'Deadline-Ms'
    expected_instance: bytes = b'Expected-Instance'
    caller: bytes = b'Caller-Service'
    proof: bytes = b'Answer-Proof'
    not_run: bytes = b'Not-Run'
    instance: bytes = b'Instance'

    def lower(self) -> 'HeaderNames':
        """Return the names in lower case, for look-ups."""
        return HeaderNames(
            **{
                name: getattr(self, name).lower()
                for name in attrs.fields_dict(HeaderNames)
            },
        )
