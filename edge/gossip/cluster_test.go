package gossip

import "testing"

// TestClusterAcceptsBothSidesOfAMove guards against instances that no longer hear each other while only some have learnt that
// the deployment's identifier changed, and against datagrams of another deployment.
func TestClusterAcceptsBothSidesOfAMove(t *testing.T) {
	notMoved, moved, restarted := cluster{first: "a"}, cluster{first: "a", moved: "b"}, cluster{first: "b"}
	cases := []struct {
		name         string
		from, to     *cluster
		wantAccepted bool
	}{
		{"not moved to moved", &notMoved, &moved, true},
		{"moved to not moved", &moved, &notMoved, true},
		{"moved to restarted", &moved, &restarted, true},
		{"restarted to moved", &restarted, &moved, true},
		{"another deployment to moved", &cluster{first: "c"}, &moved, false},
		{"another deployment that moved", &cluster{first: "c", moved: "d"}, &moved, false},
		{"moved to another deployment", &moved, &cluster{first: "c"}, false},
	}
	for _, c := range cases {
		first, movedTo := c.from.stated()
		if got := c.to.accepts(message{Cluster: first, Moved: movedTo}); got != c.wantAccepted {
			t.Errorf("%s: got accepted %v, want %v", c.name, got, c.wantAccepted)
		}
	}
}
