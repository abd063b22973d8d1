"""Logger of events with structured fields."""

import logging
from collections.abc import Mapping

#: The attribute of a log record that holds the fields of its event.
FIELDS = 'event_fields'


class EventLog:
    """Logger of the events of one module.

    Fields are stored under one attribute of the log record, so that the
    name of a field can't clash with the other attributes.
    """

    def __init__(self, name: str) -> None:
        """Log under ``name``, usually the module's."""
        self._logger = logging.getLogger(name)

    def note(self, event: str, **fields: object) -> None:
        """Log ``event`` at the level INFO."""
        self._write(logging.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log ``event`` at the level WARNING, for what may need an operator."""
        self._write(logging.WARNING, event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log ``event`` with the exception that is being handled."""
        self._logger.exception(event, extra={FIELDS: fields})

    def _write(
        self,
        level: int,
        event: str,
        fields: Mapping[str, object],
    ) -> None:
        if self._logger.isEnabledFor(level):
            self._logger.log(level, event, extra={FIELDS: fields})
