"""Model a complete set of named objects and the rules that it obeys."""

from goldcrestwharf.objects._apply import apply_delta
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

__all__ = (
    'KINDS',
    'MAX_CANONICAL_BYTES',
    'DeltaError',
    'Kind',
    'ObjectDelta',
    'ObjectSet',
    'ObjectsFormatError',
    'RemovedNames',
    'Route',
    'Service',
    'TargetGroup',
    'UnknownRulesError',
    'apply_delta',
    'decode_delta',
    'decode_objects',
    'diff',
    'digest_of',
    'encode_delta',
    'encode_objects',
)
