package outcome

// ConnectionEnd says who or what ended a caller's connection before the caller had its
// whole response.
type ConnectionEnd uint8

// Connection ends. Their names are stable, since metrics and logs contain them.
const (
	// ClosedByCaller means that the caller closed or reset the connection.
	ClosedByCaller ConnectionEnd = iota
	// ClosedByInstance means that this process closed the connection itself while the
	// request was being handled.
	ClosedByInstance
	// NotReadByCaller means that the caller did not read the response in time.
	NotReadByCaller
	// OtherEnd is any other failure of the connection, such as a broken network path.
	OtherEnd
	connectionEndCount
)

var connectionEndNames = [...]string{"closed_by_caller", "closed_by_instance", "not_read_by_caller", "other"}

// String returns the name in metrics and logs.
func (e ConnectionEnd) String() string { return nameOf(connectionEndNames[:], int(e)) }

// ConnectionEnds returns all connection ends, for building sets of counters.
func ConnectionEnds() []ConnectionEnd {
	all := make([]ConnectionEnd, 0, connectionEndCount)
	for e := ClosedByCaller; e < connectionEndCount; e++ {
		all = append(all, e)
	}
	return all
}
