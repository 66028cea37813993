package gossip

import "sync"

// cluster identifies the deployment of this instance. The identifier may change while instances
// run, because the deployment's store gets another address. Instances learn of that at different
// times, and one that starts knows only the newest identifier. So an instance that has learnt of
// the change states both, and accepts both.
type cluster struct {
	mu sync.Mutex
	// first is the identifier at the start, and moved the newest one, or "" if it did not change.
	first, moved string
}

// SetCluster changes the identifier of the deployment.
func (n *Node) SetCluster(identifier string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.moved = identifier
	if identifier == n.cluster.first {
		n.cluster.moved = ""
	}
}

// stated returns the identifiers for a message.
func (c *cluster) stated() (first, moved string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first, c.moved
}

// accepts reports whether the sender of a message belongs to the same deployment.
func (c *cluster) accepts(m message) bool {
	first, moved := c.stated()
	return m.Cluster == first || m.Cluster == moved || m.Moved != "" && (m.Moved == first || m.Moved == moved)
}
