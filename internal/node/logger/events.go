package logger

// The numbers of all events. The number of a removed event is never reused.
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
	EventShardGivenUp         Event = 311

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
	EventJobDecided        Event = 508

	// Requests.
	EventRequestRefused   Event = 601
	EventOverloadBegan    Event = 602
	EventOverloadEnded    Event = 603
	EventRunnerUnhealthy  Event = 604
	EventRunnerHealthy    Event = 605
	EventRunnerLeaving    Event = 606
	EventAnswerMismatched Event = 607
	EventCallFailed       Event = 608
	EventForwardFailed    Event = 609

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
	EventConfigApplied         Event = 801
	EventConfigConflict        Event = 802
	EventConfigFetched         Event = 803
	EventConfigRefused         Event = 804
	EventConfigWatchFailed     Event = 805
	EventConfigFinding         Event = 806
	EventConfigChange          Event = 807
	EventConfigFindingsOmitted Event = 808

	// Cell.
	EventCellTermBegan         Event = 901
	EventCellTermEnded         Event = 902
	EventCellRecovered         Event = 903
	EventJobStored             Event = 904
	EventJobCancelRequested    Event = 905
	EventJobPlanned            Event = 906
	EventRunPlaced             Event = 907
	EventOrderAnswered         Event = 908
	EventRunEnded              Event = 909
	EventRunLost               Event = 910
	EventCellJobEnded          Event = 911
	EventCellWorkerSilent      Event = 912
	EventCellWorkerAnswers     Event = 913
	EventCellWorkerRestarted   Event = 914
	EventCellWorkerAvoided     Event = 915
	EventStrayRunStopped       Event = 916
	EventAdviceAnswered        Event = 917
	EventRecordsNotWritten     Event = 918
	EventEntryUnreadable       Event = 919
	EventSettingsReloaded      Event = 920
	EventSettingsKept          Event = 921
	EventCellConfigInForce     Event = 922
	EventLinesLeftOut          Event = 923
	EventMembersChanged        Event = 924
	EventLeaseChanged          Event = 925
	EventJobStateTold          Event = 926
	EventRunReleased           Event = 927
	EventPanicContained        Event = 928
	EventCellWorkerLost        Event = 929
	EventLeaderLoad            Event = 930
	EventEndsTruncated         Event = 931
	EventEndIgnored            Event = 932
	EventCellConfigUnconfirmed Event = 933
	EventCellConfigConfirmed   Event = 934
	EventCallUnrouted          Event = 935
	EventConnectionReplaced    Event = 936
	EventClientsRefused        Event = 937
	EventCellStepBlamed        Event = 940
	EventOrganisationChanged   Event = 941
	EventOrganisationCapped    Event = 942
	EventCellWorkerReinstated  Event = 950
)
