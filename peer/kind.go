package peer

var kindNames = map[Kind]string{
	KindHeartbeat:    "heartbeat",
	KindLeave:        "leave",
	KindTickets:      "tickets",
	KindDecisions:    "verdicts",
	KindCompletions:  "reports",
	KindConfigPush:   "config_push",
	KindConfigDigest: "config_digest",
	KindConfigFetch:  "config_fetch",
	KindDrainCount:   "drain_count",
	KindFreeCapacity: "pressure",
}

// String returns the kind's name in metrics.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}
