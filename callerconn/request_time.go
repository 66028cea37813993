package callerconn

import (
	"context"
	"net"
	"time"
)

// connectionKey is the key of a connection in the context of its requests.
type connectionKey struct{}

// ConnContext is the ConnContext hook of the http.Server. RequestBegan needs it.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// RequestBegan returns when the first byte of a request arrived, given the request's context. It
// returns false if the request came over a connection that no Tracker holds.
func RequestBegan(ctx context.Context) (time.Time, bool) {
	caller, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return time.Time{}, false
	}
	return caller.requestBegan(), true
}
