"""Names of the headers between callers, daemons and targets."""

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names as they are sent.

    ``deadline`` carries the remaining milliseconds, ``expected_instance`` the
    id of the only target instance that may run the request, and ``caller``
    the service of the caller. ``proof`` marks an answer as one of the target,
    ``not_run`` says that the target did not run the request, and
    ``instance`` identifies the answering target. ``limit`` states the
    requests per second that the target takes from all daemons together, and
    ``leaving`` says that it will stop. ``workspace`` carries the name of the
    caller's workspace to the target.
    """

    request_id: bytes = b'Request-Id'
    deadline: bytes = b'Deadline-Ms'
    expected_instance: bytes = b'Expected-Instance'
    caller: bytes = b'Caller-Service'
    proof: bytes = b'Answer-Proof'
    not_run: bytes = b'Not-Run'
    instance: bytes = b'Instance'
    limit: bytes = b'Target-Limit'
    leaving: bytes = b'Target-Leaving'
    workspace: bytes = b'Workspace'

    def lower(self) -> 'HeaderNames':
        """Return the names in lower case, for lookups."""
        return HeaderNames(
            **{
                name: getattr(self, name).lower()
                for name in attrs.fields_dict(HeaderNames)
            },
        )
