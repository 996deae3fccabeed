package logger

import "log/slog"

// The events. Numbers are never used again.
const (
	// Process.
	EventStarted            Event = 101
	EventReady              Event = 102
	EventDraining           Event = 103
	EventStopped            Event = 104
	EventSettingsRefused    Event = 105
	EventComponentPanicked  Event = 106
	EventComponentRestarted Event = 107
	EventComponentGaveUp    Event = 108
	EventComponentStuck     Event = 109
	EventDrainTimedOut      Event = 110

	// Store.
	EventLeaseGained         Event = 201
	EventLeaseRenewalFailed  Event = 202
	EventLeaseLost           Event = 203
	EventStoreUnreachable    Event = 204
	EventStoreBack           Event = 205
	EventStoreBudgetExceeded Event = 206

	// Shards.
	EventShardAcquired        Event = 301
	EventShardRecovered       Event = 302
	EventShardHandedOver      Event = 303
	EventShardLost            Event = 304
	EventShardFenced          Event = 305
	EventShardRecoveryFailed  Event = 306
	EventJournalWriteFailed   Event = 307
	EventJournalWriteResolved Event = 308
	EventSnapshotWritten      Event = 309
	EventSnapshotFailed       Event = 310

	// Workers.
	EventWorkerUnreachable Event = 401
	EventWorkerBack        Event = 402
	EventWorkerLost        Event = 403
	EventWorkerRestarted   Event = 404
	EventWorkerQuarantined Event = 405
	EventWorkerReinstated  Event = 406
	EventQuarantineLimited Event = 407
	EventMemoryPressure    Event = 408

	// Jobs.
	EventJobAccepted       Event = 501
	EventJobEnded          Event = 502
	EventJobUnknown        Event = 503
	EventJobImpossible     Event = 504
	EventJobDeadlineMissed Event = 505
	EventJobStraggling     Event = 506
	EventRunPreempted      Event = 507

	// Requests.
	EventRequestRefused   Event = 601
	EventOverloadBegan    Event = 602
	EventOverloadEnded    Event = 603
	EventRunnerUnhealthy  Event = 604
	EventRunnerHealthy    Event = 605
	EventRunnerLeaving    Event = 606
	EventAnswerMismatched Event = 607
	EventCallFailed       Event = 608

	// Members.
	EventPeerJoined        Event = 701
	EventPeerSuspected     Event = 702
	EventPeerBack          Event = 703
	EventPeerLeft          Event = 704
	EventRegionUnreachable Event = 705
	EventRegionBack        Event = 706
	EventListUnavailable   Event = 707
	EventListBack          Event = 708

	// Configuration.
	EventConfigApplied     Event = 801
	EventConfigConflict    Event = 802
	EventConfigFetched     Event = 803
	EventConfigRefused     Event = 804
	EventConfigWatchFailed Event = 805
)

// catalogue is ordered by number.
var catalogue = []Description{
	{
		Event:   EventStarted,
		Level:   slog.LevelInfo,
		Name:    "Started",
		Text:    "instance started",
		Meaning: "The settings are accepted and the instance listens. It takes no work before `Ready`.",
	},
	{
		Event:   EventReady,
		Level:   slog.LevelInfo,
		Name:    "Ready",
		Text:    "instance ready",
		Meaning: "Membership and configuration are known; the balancer may send calls.",
	},
	{
		Event:   EventDraining,
		Level:   slog.LevelInfo,
		Name:    "Draining",
		Text:    "instance draining",
		Meaning: "A planned stop began: readiness is withdrawn, shards are handed over and calls in progress finish.",
	},
	{
		Event:   EventStopped,
		Level:   slog.LevelInfo,
		Name:    "Stopped",
		Text:    "instance stopped",
		Meaning: "The planned stop is complete. `Error` is empty unless something did not finish in time.",
	},
	{
		Event:   EventSettingsRefused,
		Level:   slog.LevelError,
		Name:    "SettingsRefused",
		Text:    "settings refused",
		Meaning: "The settings file has the listed faults; the process exits. Correct the file.",
	},
	{
		Event:   EventComponentPanicked,
		Level:   slog.LevelError,
		Name:    "ComponentPanicked",
		Text:    "component panicked",
		Meaning: "A fault of the program was contained. The supervisor restarts the component within its limits. Report the stack.",
	},
	{
		Event:   EventComponentRestarted,
		Level:   slog.LevelWarn,
		Name:    "ComponentRestarted",
		Text:    "component restarted",
		Meaning: "A component ended with `Error` and was started again.",
	},
	{
		Event:   EventComponentGaveUp,
		Level:   slog.LevelError,
		Name:    "ComponentGaveUp",
		Text:    "component gave up",
		Meaning: "A component failed too often. The process ends so that the platform replaces the instance; its shards move to peers.",
	},
	{
		Event:   EventComponentStuck,
		Level:   slog.LevelError,
		Name:    "ComponentStuck",
		Text:    "component did not stop",
		Meaning: "A component did not end within its time at a stop. The stop goes on without it.",
	},
	{
		Event:   EventDrainTimedOut,
		Level:   slog.LevelWarn,
		Name:    "DrainTimedOut",
		Text:    "drain timed out",
		Meaning: "Work in progress did not finish within `Timeouts.Drain`; it was cut off.",
	},
	{
		Event:   EventLeaseGained,
		Level:   slog.LevelInfo,
		Name:    "LeaseGained",
		Text:    "store lease gained",
		Meaning: "The instance may own shards.",
	},
	{
		Event:   EventLeaseRenewalFailed,
		Level:   slog.LevelWarn,
		Name:    "LeaseRenewalFailed",
		Text:    "store lease renewal failed",
		Meaning: "One renewal failed. Ownership ends when none succeeds before the lease's deadline; see the store.",
	},
	{
		Event:   EventLeaseLost,
		Level:   slog.LevelError,
		Name:    "LeaseLost",
		Text:    "store lease lost",
		Meaning: "The deadline passed or the store dropped the lease. The instance decides nothing for its shards until it has a new one.",
	},
	{
		Event:   EventStoreUnreachable,
		Level:   slog.LevelError,
		Name:    "StoreUnreachable",
		Text:    "store unreachable",
		Meaning: "Submissions and applies are refused with a retry time. Interactive work, running work and the configuration in force continue. Restore the store.",
	},
	{
		Event:   EventStoreBack,
		Level:   slog.LevelInfo,
		Name:    "StoreBack",
		Text:    "store reachable again",
		Meaning: "Durable work is accepted again.",
	},
	{
		Event:   EventStoreBudgetExceeded,
		Level:   slog.LevelWarn,
		Name:    "StoreBudgetExceeded",
		Text:    "store budget exceeded",
		Meaning: "Calls are delayed to keep the store's share. Expect slower acknowledgements; check for an unusual rate of changes.",
	},
	{
		Event:   EventShardAcquired,
		Level:   slog.LevelInfo,
		Name:    "ShardAcquired",
		Text:    "shard acquired",
		Meaning: "The instance owns the shard under a new epoch and begins recovery.",
	},
	{
		Event:   EventShardRecovered,
		Level:   slog.LevelInfo,
		Name:    "ShardRecovered",
		Text:    "shard recovered",
		Meaning: "The journal was read and the workers queried; the shard places work again.",
	},
	{
		Event:   EventShardHandedOver,
		Level:   slog.LevelInfo,
		Name:    "ShardHandedOver",
		Text:    "shard handed over",
		Meaning: "The shard was released in a planned way; a peer takes it.",
	},
	{
		Event:   EventShardLost,
		Level:   slog.LevelWarn,
		Name:    "ShardLost",
		Text:    "shard lost",
		Meaning: "Ownership ended without a hand-over. A peer takes the shard when the lease has expired in the store.",
	},
	{
		Event:   EventShardFenced,
		Level:   slog.LevelWarn,
		Name:    "ShardFenced",
		Text:    "shard fenced",
		Meaning: "A newer epoch was seen in the journal or at a worker. The instance stopped deciding for the shard. One event after a pause is normal.",
	},
	{
		Event:   EventShardRecoveryFailed,
		Level:   slog.LevelError,
		Name:    "ShardRecoveryFailed",
		Text:    "shard recovery failed",
		Meaning: "The journal could not be read. Recovery is tried again; jobs of the shard wait.",
	},
	{
		Event:   EventJournalWriteFailed,
		Level:   slog.LevelWarn,
		Name:    "JournalWriteFailed",
		Text:    "journal write failed",
		Meaning: "A batch of decisions is not durable yet and is tried again. Nothing of it took effect.",
	},
	{
		Event:   EventJournalWriteResolved,
		Level:   slog.LevelInfo,
		Name:    "JournalWriteResolved",
		Text:    "journal write resolved",
		Meaning: "The answer to a write was lost and its outcome was read back.",
	},
	{
		Event:   EventSnapshotWritten,
		Level:   slog.LevelDebug,
		Name:    "SnapshotWritten",
		Text:    "snapshot written",
		Meaning: "The journal's ring was shortened.",
	},
	{
		Event:   EventSnapshotFailed,
		Level:   slog.LevelWarn,
		Name:    "SnapshotFailed",
		Text:    "snapshot failed",
		Meaning: "The journal's ring fills up. Acceptance stops when it is full; see the store.",
	},
	{
		Event:   EventWorkerUnreachable,
		Level:   slog.LevelWarn,
		Name:    "WorkerUnreachable",
		Text:    "worker unreachable",
		Meaning: "Calls to the worker fail. Its runs are held until their lease has expired.",
	},
	{
		Event:   EventWorkerBack,
		Level:   slog.LevelInfo,
		Name:    "WorkerBack",
		Text:    "worker reachable again",
		Meaning: "The worker answered and its runs were compared with the journal.",
	},
	{
		Event:   EventWorkerLost,
		Level:   slog.LevelError,
		Name:    "WorkerLost",
		Text:    "worker lost",
		Meaning: "The task leases have expired. Idempotent runs are placed again, others became `Unknown`.",
	},
	{
		Event:   EventWorkerRestarted,
		Level:   slog.LevelWarn,
		Name:    "WorkerRestarted",
		Text:    "worker restarted",
		Meaning: "The worker has a new incarnation and lost its runs.",
	},
	{
		Event:   EventWorkerQuarantined,
		Level:   slog.LevelWarn,
		Name:    "WorkerQuarantined",
		Text:    "worker quarantined",
		Meaning: "Tasks fail on this worker that do not fail elsewhere. It takes only trial tasks. Inspect it.",
	},
	{
		Event:   EventWorkerReinstated,
		Level:   slog.LevelInfo,
		Name:    "WorkerReinstated",
		Text:    "worker reinstated",
		Meaning: "A trial succeeded; the worker takes work again.",
	},
	{
		Event:   EventQuarantineLimited,
		Level:   slog.LevelError,
		Name:    "QuarantineLimited",
		Text:    "quarantine limit reached",
		Meaning: "A quarter of the shard's workers is in quarantine; further suspects stay in use. Look for a common cause.",
	},
	{
		Event:   EventMemoryPressure,
		Level:   slog.LevelWarn,
		Name:    "MemoryPressure",
		Text:    "memory pressure on worker",
		Meaning: "Tasks use more than declared. They are throttled, then checkpointed, then stopped.",
	},
	{
		Event:   EventJobAccepted,
		Level:   slog.LevelDebug,
		Name:    "JobAccepted",
		Text:    "job accepted",
		Meaning: "The job is durable.",
	},
	{
		Event:   EventJobEnded,
		Level:   slog.LevelDebug,
		Name:    "JobEnded",
		Text:    "job ended",
		Meaning: "The job has its final fate.",
	},
	{
		Event:   EventJobUnknown,
		Level:   slog.LevelWarn,
		Name:    "JobUnknown",
		Text:    "job fate unknown",
		Meaning: "A run of a job that must not be repeated may have happened. It is settled when the worker reports; otherwise a person decides.",
	},
	{
		Event:   EventJobImpossible,
		Level:   slog.LevelInfo,
		Name:    "JobImpossible",
		Text:    "job refused as impossible",
		Meaning: "No worker of the cell can ever run the job. The caller was told why.",
	},
	{
		Event:   EventJobDeadlineMissed,
		Level:   slog.LevelWarn,
		Name:    "JobDeadlineMissed",
		Text:    "job missed its deadline",
		Meaning: "The last task was not done in time.",
	},
	{
		Event:   EventJobStraggling,
		Level:   slog.LevelInfo,
		Name:    "JobStraggling",
		Text:    "run exceeds its estimate",
		Meaning: "A run takes more than four times its estimate.",
	},
	{
		Event:   EventRunPreempted,
		Level:   slog.LevelInfo,
		Name:    "RunPreempted",
		Text:    "run preempted",
		Meaning: "The run was checkpointed to make room for more urgent work.",
	},
	{
		Event:   EventRequestRefused,
		Level:   slog.LevelDebug,
		Name:    "RequestRefused",
		Text:    "request refused by overload",
		Meaning: "The request could not be served before its deadline and was not run.",
	},
	{
		Event:   EventOverloadBegan,
		Level:   slog.LevelWarn,
		Name:    "OverloadBegan",
		Text:    "overload began",
		Meaning: "Requests are refused to protect those accepted. Add runners or wait for the peak to pass.",
	},
	{
		Event:   EventOverloadEnded,
		Level:   slog.LevelInfo,
		Name:    "OverloadEnded",
		Text:    "overload ended",
		Meaning: "Requests are no longer refused. `Refused` counts those that were.",
	},
	{
		Event:   EventRunnerUnhealthy,
		Level:   slog.LevelWarn,
		Name:    "RunnerUnhealthy",
		Text:    "runner unhealthy",
		Meaning: "The runner fails or is slow; it gets only trial requests.",
	},
	{
		Event:   EventRunnerHealthy,
		Level:   slog.LevelInfo,
		Name:    "RunnerHealthy",
		Text:    "runner healthy again",
		Meaning: "Trial requests succeeded.",
	},
	{
		Event:   EventRunnerLeaving,
		Level:   slog.LevelInfo,
		Name:    "RunnerLeaving",
		Text:    "runner leaving",
		Meaning: "The runner takes no new requests.",
	},
	{
		Event:   EventAnswerMismatched,
		Level:   slog.LevelError,
		Name:    "AnswerMismatched",
		Text:    "answer discarded",
		Meaning: "A runner's answer was incomplete or carried another request's ID. The caller did not get it. Inspect the runner.",
	},
	{
		Event:   EventCallFailed,
		Level:   slog.LevelError,
		Name:    "CallFailed",
		Text:    "call failed by a fault of the system",
		Meaning: "A public call got the code `Internal`. Report `Error`.",
	},
	{
		Event:   EventPeerJoined,
		Level:   slog.LevelInfo,
		Name:    "PeerJoined",
		Text:    "peer joined",
		Meaning: "A new entry instance is known.",
	},
	{
		Event:   EventPeerSuspected,
		Level:   slog.LevelWarn,
		Name:    "PeerSuspected",
		Text:    "peer suspected",
		Meaning: "Nothing was heard from the peer for too long. Its slots are divided among the others.",
	},
	{
		Event:   EventPeerBack,
		Level:   slog.LevelInfo,
		Name:    "PeerBack",
		Text:    "peer back",
		Meaning: "A suspected peer was heard again.",
	},
	{
		Event:   EventPeerLeft,
		Level:   slog.LevelInfo,
		Name:    "PeerLeft",
		Text:    "peer left",
		Meaning: "The peer stopped in a planned way or the platform no longer lists it.",
	},
	{
		Event:   EventRegionUnreachable,
		Level:   slog.LevelWarn,
		Name:    "RegionUnreachable",
		Text:    "region unreachable",
		Meaning: "No instance of the region is heard. Each region continues on its own.",
	},
	{
		Event:   EventRegionBack,
		Level:   slog.LevelInfo,
		Name:    "RegionBack",
		Text:    "region reachable again",
		Meaning: "Exchange with the region works again.",
	},
	{
		Event:   EventListUnavailable,
		Level:   slog.LevelWarn,
		Name:    "ListUnavailable",
		Text:    "instance list unavailable",
		Meaning: "The last known list stays in use.",
	},
	{
		Event:   EventListBack,
		Level:   slog.LevelInfo,
		Name:    "ListBack",
		Text:    "instance list available again",
		Meaning: "The list is current.",
	},
	{
		Event:   EventConfigApplied,
		Level:   slog.LevelInfo,
		Name:    "ConfigApplied",
		Text:    "configuration applied",
		Meaning: "A new revision is in force on this instance.",
	},
	{
		Event:   EventConfigConflict,
		Level:   slog.LevelInfo,
		Name:    "ConfigConflict",
		Text:    "configuration conflict",
		Meaning: "An apply was based on an older revision and was refused; the operator was shown both sides.",
	},
	{
		Event:   EventConfigFetched,
		Level:   slog.LevelInfo,
		Name:    "ConfigFetched",
		Text:    "configuration fetched from peer",
		Meaning: "A higher revision came from a peer before the store's watch reported it.",
	},
	{
		Event:   EventConfigRefused,
		Level:   slog.LevelError,
		Name:    "ConfigRefused",
		Text:    "configuration in store refused",
		Meaning: "The stored document is invalid. The revision in force stays. Apply a valid one.",
	},
	{
		Event:   EventConfigWatchFailed,
		Level:   slog.LevelWarn,
		Name:    "ConfigWatchFailed",
		Text:    "configuration watch failed",
		Meaning: "The watch is set up again; peers still report new revisions.",
	},
}
