from .address_lister import AddressLister
from .admission import AdmissionControl, ClaimControl, NoClaimControl
from .admission_asker import AdmissionAsker
from .body_memory_limiter import BodyMemoryLimiter
from .canceller import Canceller
from .catalog_builder import CatalogBuilder
from .claim_handover_sender import ClaimHandoverSender
from .claim_owner import ClaimOwner
from .claimant import Claimant
from .concurrency_limiter import ConcurrencyLimiter
from .configuration_follower import ConfigurationFollower
from .configurator import Configurator
from .demand_recorder import DemandRecorder
from .dispatcher import Dispatcher, NotPlaced, Placed
from .domain_address_lister import DomainAddressLister
from .domain_link import DomainLink
from .era_tracker import EraTracker
from .evacuation_follower import EvacuationFollower
from .feed_follower import Feed, FeedFollower
from .fence_tracker import FenceTracker
from .forwarder import Forwarder
from .granter import Granter
from .health_evaluator import HealthEvaluator
from .health_reporter import HealthReporter
from .historian import EventRecorder
from .host_registrar import HostRegistrar
from .lease_manager import LeaseManager
from .limiter import Limiter
from .metrics_recorder import MetricsRecorder
from .observations import read_newest_configuration, read_newest_roster
from .outcome_relay import OutcomeRelay
from .place_reporter import PlaceReporter
from .puller import Puller
from .readiness import list_unready_reasons
from .readiness_reporter import ReadinessReporter
from .registration_checker import CheckedRegistry, RegistrationChecker
from .responder import Responder
from .roster_manager import RosterManager
from .rules_editor import (
    Accepted,
    Conflicted,
    DamagedRules,
    NoRules,
    RulesEditor,
    StoredRules,
    Unreachable,
)
from .runner import Controller, Runner
from .segment_fetcher import SegmentFetcher
from .sender import Delivery, Sender
from .server_follower import ServerFollower
from .server_state_updater import ServerStateUpdater
from .settings_keeper import SettingsReloader
from .share_borrower import ShareBorrower
from .share_handover_sender import ShareHandoverSender
from .share_manager import ShareManager
from .start_gate import StartGate
from .status_reporter import StatusReporter
from .store_lease_manager import StoreLeaseManager
from .store_probe import StoreProbe
from .subset_selector import SubsetSelector
from .suspicion_tracker import SuspicionTracker
from .tenure_tracker import TenureTracker
from .usage_limiter import UsageLimiter
from .watcher import Watcher

__all__ = [
    "AdmissionAsker",
    "Granter",
    "Accepted",
    "MetricsRecorder",
    "DomainAddressLister",
    "AddressLister",
    "RulesEditor",
    "BodyMemoryLimiter",
    "Canceller",
    "CatalogBuilder",
    "ClaimHandoverSender",
    "ClaimOwner",
    "Claimant",
    "ClaimControl",
    "ConcurrencyLimiter",
    "ConfigurationFollower",
    "Configurator",
    "StoreLeaseManager",
    "StoreProbe",
    "Conflicted",
    "Controller",
    "DamagedRules",
    "Delivery",
    "DemandRecorder",
    "Dispatcher",
    "EvacuationFollower",
    "Feed",
    "FeedFollower",
    "ServerFollower",
    "FenceTracker",
    "Forwarder",
    "HealthEvaluator",
    "ServerStateUpdater",
    "HealthReporter",
    "CheckedRegistry",
    "EraTracker",
    "EventRecorder",
    "HostRegistrar",
    "LeaseManager",
    "Limiter",
    "AdmissionControl",
    "NoClaimControl",
    "NotPlaced",
    "NoRules",
    "OutcomeRelay",
    "Placed",
    "PlaceReporter",
    "Puller",
    "Responder",
    "ReadinessReporter",
    "RegistrationChecker",
    "RosterManager",
    "StoredRules",
    "Runner",
    "SegmentFetcher",
    "Sender",
    "SuspicionTracker",
    "SettingsReloader",
    "ShareManager",
    "ShareBorrower",
    "ShareHandoverSender",
    "StartGate",
    "StatusReporter",
    "SubsetSelector",
    "TenureTracker",
    "Unreachable",
    "UsageLimiter",
    "Watcher",
    "DomainLink",
    "list_unready_reasons",
    "read_newest_configuration",
    "read_newest_roster",
]
