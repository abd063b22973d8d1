"""Structured logging to standard error.

A message is the name of an event followed by ``key=value`` fields, as in
``config.applied version=1.412 changed=2``. The JSON format splits them.
"""

import json
import logging
import sys
from datetime import UTC, datetime

from goldcrestwharf.telemetry._settings import LogSettings

_TEXT_FORMAT = '%(asctime)s %(levelname)s %(message)s'


class JsonFormatter(logging.Formatter):
    """Formatter of a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as a JSON object on one line."""
        event, _, rest = record.getMessage().partition(' ')
        written_at = datetime.fromtimestamp(record.created, UTC)
        entry = {
            'time': written_at.isoformat(),
            'level': record.levelname.lower(),
            'logger': record.name,
            'event': event,
            **_split_fields(rest),
        }
        if record.exc_info:
            entry['exception'] = self.formatException(record.exc_info)
        return json.dumps(entry, ensure_ascii=False)


def set_up_logs(cfg: LogSettings) -> None:
    """Send the log to standard error in the format of ``cfg``."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_make_formatter(cfg.format))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(cfg.level.upper())
    # These libraries log each request; metrics count the requests already.
    for logger_name in ('httpx', 'httpcore', 'hypercorn.access'):
        logging.getLogger(logger_name).setLevel(logging.WARNING)


def _make_formatter(log_format: str) -> logging.Formatter:
    if log_format == 'json':
        return JsonFormatter()
    return logging.Formatter(_TEXT_FORMAT)


def _split_fields(rest: str) -> dict[str, str]:
    """Return the ``key=value`` fields; a value extends to the next key.

    Words before the first key are the value of ``text``.
    """
    fields: dict[str, str] = {}
    key = 'text'
    for word in rest.split():
        key = _add_word(fields, key, word)
    return fields


def _add_word(fields: dict[str, str], last_key: str, word: str) -> str:
    key, equals, start = word.partition('=')
    if equals and key.isidentifier():
        fields[key] = start
        return key
    earlier = fields.get(last_key, '')
    fields[last_key] = f'{earlier} {word}'.strip()
    return last_key
