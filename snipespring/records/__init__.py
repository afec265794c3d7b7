"""Define the immutable records that controllers and decisions exchange."""

from . import (
    addresses,
    attempts,
    backends,
    bodies,
    claim_messages,
    claims,
    domains,
    events,
    feeds,
    fleet,
    health,
    health_messages,
    health_pools,
    identity,
    limit_messages,
    limits,
    messages,
    metrics,
    platform,
    queues,
    requests,
    retries,
    routing,
    rules,
    stops,
)
from .addresses import *
from .attempts import *
from .backends import *
from .bodies import *
from .claim_messages import *
from .claims import *
from .domains import *
from .events import *
from .feeds import *
from .fleet import *
from .health import *
from .health_messages import *
from .health_pools import *
from .identity import *
from .limit_messages import *
from .limits import *
from .messages import *
from .metrics import *
from .platform import *
from .queues import *
from .requests import *
from .retries import *
from .routing import *
from .rules import *
from .stops import *

__all__: list[str] = []
__all__ += addresses.__all__
__all__ += attempts.__all__
__all__ += backends.__all__
__all__ += bodies.__all__
__all__ += claim_messages.__all__
__all__ += claims.__all__
__all__ += domains.__all__
__all__ += events.__all__
__all__ += feeds.__all__
__all__ += fleet.__all__
__all__ += health.__all__
__all__ += health_messages.__all__
__all__ += health_pools.__all__
__all__ += identity.__all__
__all__ += limit_messages.__all__
__all__ += limits.__all__
__all__ += messages.__all__
__all__ += metrics.__all__
__all__ += platform.__all__
__all__ += queues.__all__
__all__ += requests.__all__
__all__ += retries.__all__
__all__ += routing.__all__
__all__ += rules.__all__
__all__ += stops.__all__
