package scheduler

import "bergamotpin.example/bergamotpin/schedcore"

// Explanation is a record of one decision of a model's pool.
type Explanation struct {
	Model string
	schedcore.ExplainRecord
}

// Explanations returns the kept records of every pool, the oldest of each
// first. There are none unless LocalOptions.Core.Explain is set.
func (l *Local) Explanations() []Explanation {
	var out []Explanation
	for model, p := range l.snapshotPools() {
		for _, r := range p.records(l.done) {
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

// records asks the pool's loop, which owns the core, for its records. It
// returns none once done is closed.
func (p *pool) records(done <-chan struct{}) []schedcore.ExplainRecord {
	answer := make(chan []schedcore.ExplainRecord, 1)
	select {
	case p.queries <- answer:
	case <-done:
		return nil
	}
	select {
	case records := <-answer:
		return records
	case <-done:
		return nil
	}
}
