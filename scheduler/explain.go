package scheduler

import "bergamotpin.example/bergamotpin/schedcore"

// Explanation is the record of one decision in a model's pool.
type Explanation struct {
	Model string
	schedcore.ExplainRecord
}

// Explanations returns the explain records of all pools. The records of each pool
// are sorted from the oldest to the newest. If
// LocalOptions.Core.MaxExplainRecords is 0, no pool has records.
func (l *Local) Explanations() []Explanation {
	var out []Explanation
	for model, p := range l.snapshotPools() {
		for _, r := range p.explainRecords(l.done) {
			out = append(out, Explanation{Model: model, ExplainRecord: r})
		}
	}
	return out
}

// snapshotPools returns a copy of the map of pools, by model.
func (l *Local) snapshotPools() map[string]*pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]*pool, len(l.pools))
	for model, p := range l.pools {
		out[model] = p
	}
	return out
}

// explainRecords requests the records from the goroutine that owns the pool's
// core. It returns nil once done is closed.
func (p *pool) explainRecords(done <-chan struct{}) []schedcore.ExplainRecord {
	response := make(chan []schedcore.ExplainRecord, 1)
	select {
	case p.explainQueries <- response:
	case <-done:
		return nil
	}
	select {
	case records := <-response:
		return records
	case <-done:
		return nil
	}
}
