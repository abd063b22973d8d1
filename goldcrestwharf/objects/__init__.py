"""Define sets of named objects and the rules that validate them."""

from goldcrestwharf.documents import Place, Problem, Problems, Severity
from goldcrestwharf.objects._apply import apply_delta
from goldcrestwharf.objects._change import check_change
from goldcrestwharf.objects._delta import ObjectDelta, RemovedNames
from goldcrestwharf.objects._diff import diff
from goldcrestwharf.objects._digest import digest_of
from goldcrestwharf.objects._encoding import (
    MAX_CANONICAL_BYTES,
    decode_delta,
    decode_objects,
    encode_delta,
    encode_objects,
)
from goldcrestwharf.objects._errors import (
    DeltaError,
    ObjectsFormatError,
    UnknownRulesError,
)
from goldcrestwharf.objects._kinds import KINDS, Kind
from goldcrestwharf.objects._model import (
    ObjectSet,
    Route,
    Service,
    TargetGroup,
)
from goldcrestwharf.objects._parse import (
    Review,
    parse_objects,
    review_objects,
)
from goldcrestwharf.objects._rules import (
    RULES_REVISION,
    check_objects,
    find_rules,
)

__all__ = (
    'KINDS',
    'MAX_CANONICAL_BYTES',
    'RULES_REVISION',
    'DeltaError',
    'Kind',
    'ObjectDelta',
    'ObjectSet',
    'ObjectsFormatError',
    'Place',
    'Problem',
    'Problems',
    'RemovedNames',
    'Review',
    'Route',
    'Service',
    'Severity',
    'TargetGroup',
    'UnknownRulesError',
    'apply_delta',
    'check_change',
    'check_objects',
    'decode_delta',
    'decode_objects',
    'diff',
    'digest_of',
    'encode_delta',
    'encode_objects',
    'find_rules',
    'parse_objects',
    'review_objects',
)
