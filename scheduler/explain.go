package scheduler

import "bergamotpin.example/bergamotpin/schedcore"

// Explanation is the record of one decision in a model's pool.
type Explanation struct {
	Model string
	schedcore.ExplainRecord
}

// Explanations returns the kept records of all pools, with the oldest first
// within each pool. There are none unless LocalOptions.Core.MaxExplainRecords
// is set.
func (l *Local) Explanations() []Explanation {
	var out []Explanation
	for model, p := range l.snapshotPools() {
		for _, r := range p.explainRecords(l.done) {
			out = append(out, Explanation{Model: model, ExplainRecord: r})
		}
	}
	return out
}

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
