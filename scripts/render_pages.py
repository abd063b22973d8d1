"""Generate the pages and files that are derived from the schemas.

Run ``python scripts/render_pages.py`` after a change of settings or objects;
the tests fail while the generated files are out of date.
"""

from pathlib import Path

from goldcrestwharf.documents import render_reference
from goldcrestwharf.objects import Route, Service, TargetGroup
from goldcrestwharf.settings import DaemonSettings, render_default

_ROOT = Path(__file__).parents[1]
_REFERENCE = _ROOT / 'docs' / 'reference'
_DEFAULT = _ROOT / 'goldcrestwharf' / 'settings' / 'default.jsonc'
_END = '<!-- end -->'


def write_table(page: Path, mark: str, schema: type) -> None:
    """Replace the table between ``mark`` and the end mark of a page."""
    before, _, rest = page.read_text().partition(mark)
    _, _, after = rest.partition(_END)
    table = render_reference(schema)
    page.write_text(f'{before}{mark}\n\n{table}\n\n{_END}{after}')


def main() -> None:
    """Write all generated files."""
    _DEFAULT.write_text(render_default())
    write_table(
        _REFERENCE / 'settings.md', '<!-- all settings -->', DaemonSettings
    )
    objects = _REFERENCE / 'objects.md'
    write_table(objects, '<!-- target group -->', TargetGroup)
    write_table(objects, '<!-- service -->', Service)
    write_table(objects, '<!-- route -->', Route)


if __name__ == '__main__':
    main()
