package serve

import (
	"net/http"
	"sync"
)

// openRequests counts the callers' requests whose handlers run. A server that
// is closed does not wait for them.
type openRequests struct {
	mu     sync.Mutex
	count  int
	closed bool
	ended  chan struct{} // closed when count is zero after wait began
}

func newOpenRequests() *openRequests { return &openRequests{ended: make(chan struct{})} }

// handler counts the requests that next serves. After wait began, it drops the
// connection instead.
func (o *openRequests) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !o.begin() {
			panic(http.ErrAbortHandler)
		}
		defer o.end()
		next.ServeHTTP(w, r)
	})
}

func (o *openRequests) begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.count++
	return true
}

func (o *openRequests) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	if o.closed && o.count == 0 {
		close(o.ended)
	}
}

// wait lets no further request begin and returns after the open ones ended. It
// is called once.
func (o *openRequests) wait() {
	o.mu.Lock()
	o.closed = true
	none := o.count == 0
	o.mu.Unlock()
	if !none {
		<-o.ended
	}
}
