from .logs import configure_logs
from .proxy import Proxy, build_proxy, run_proxy

__all__ = ["Proxy", "build_proxy", "configure_logs", "run_proxy"]
