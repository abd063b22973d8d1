import types

import pytest

from goldcrestwharf.objects import ObjectSet, Route, Service
from goldcrestwharf.routing import DanglingReferenceError, compile_routes

ROUTES = types.MappingProxyType(
    {
        'any': Route(service='web'),
        'menu': Route(service='web', host='menu.example', path_prefix='/menu'),
        'deep': Route(
            service='web', host='menu.example', path_prefix='/menu/a/'
        ),
        'order': Route(
            service='web',
            host='menu.example',
            path_prefix='/order',
            methods=('POST', 'PUT'),
        ),
        'order-any': Route(
            service='web',
            host='menu.example',
            path_prefix='/order',
        ),
        'paid': Route(service='web', path_prefix='/paid', repeatable=False),
        'safe': Route(service='web', path_prefix='/safe', repeatable=True),
    }
)
TABLE = compile_routes(
    ObjectSet(
        services={'web': Service(target_group='pool')},
        routes=ROUTES,
    ),
)


@pytest.mark.parametrize(
    ('host', 'path', 'method', 'expected'),
    [
        ('menu.example', '/menu', 'GET', 'menu'),
        ('MENU.example.:8080', '/menu/b', 'GET', 'menu'),
        ('menu.example', '/menu/a', 'GET', 'deep'),
        ('menu.example', '/menu/a/b/c', 'GET', 'deep'),
        ('menu.example', '/menu/ab', 'GET', 'menu'),
        ('menu.example', '/menus', 'GET', 'any'),
        ('menu.example', '/order', 'POST', 'order'),
        ('menu.example', '/order', 'post', 'order'),
        ('menu.example', '/order', 'GET', 'order-any'),
        ('other.example', '/menu', 'GET', 'any'),
        ('[::1]:80', '/', 'GET', 'any'),
        ('', '/', 'GET', 'any'),
        ('menu.example', '/paid', 'GET', 'paid'),
        ('menu.example', '/menu/../paid', 'GET', None),
        ('menu.example', '/menu/%2E%2e/paid', 'GET', None),
        ('menu.example', '/menu/x%2f..%2fpaid', 'GET', None),
        ('menu.example', r'/menu/..\paid', 'GET', None),
        ('menu.example', '/menu/v1.2/..a', 'GET', 'menu'),
        ('menu.example', 'menu', 'GET', None),
        ('menu.example', '*', 'OPTIONS', None),
        ('menu.example', '/menu//a', 'GET', 'menu'),
    ],
)
def test_most_specific_route_matches(
    host: str,
    path: str,
    method: str,
    expected: str | None,
) -> None:
    found = TABLE.match(host=host, path=path, method=method)
    assert getattr(found, 'route_name', None) == expected


@pytest.mark.parametrize(
    ('path', 'method', 'expected'),
    [
        ('/', 'GET', True),
        ('/', 'HEAD', True),
        ('/', 'OPTIONS', True),
        ('/', 'PUT', False),
        ('/', 'DELETE', False),
        ('/', 'POST', False),
        ('/', 'TRACE', False),
        ('/paid', 'GET', False),
        ('/safe', 'POST', True),
    ],
)
def test_route_declaration_overrides_repeatable_methods(
    path: str,
    method: str,
    expected: bool,
) -> None:
    found = TABLE.match(host='x', path=path, method=method)
    assert found is not None
    assert found.is_repeatable is expected


def test_no_route_without_match() -> None:
    objects = ObjectSet(
        services={'web': Service(target_group='pool')},
        routes={'only': Route(service='web', host='a', path_prefix='/x')},
    )
    table = compile_routes(objects)
    assert table.match(host='b', path='/x', method='GET') is None
    assert table.match(host='a', path='/y', method='GET') is None


def test_dangling_reference_is_rejected() -> None:
    objects = ObjectSet(routes={'lost': Route(service='gone')})
    with pytest.raises(DanglingReferenceError, match='"gone" is missing'):
        compile_routes(objects)
