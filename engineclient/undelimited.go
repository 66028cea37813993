package engineclient

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

// upload tells how the writing of a request ended.
type upload struct {
	once  sync.Once
	ended chan struct{}
	err   error
}

// end takes in how the writing of the request ended.
func (u *upload) end(info httptrace.WroteRequestInfo) {
	u.once.Do(func() {
		u.err = info.Err
		close(u.ended)
	})
}

// undelimitedBody is a body that ends with its connection. The operating system reports a reset
// once: if the write of the rest of the request gets it, the read sees a regular end. So the end
// counts only if the whole request was written.
type undelimitedBody struct {
	io.ReadCloser
	ctx    context.Context
	upload *upload
}

// Read implements io.Reader.
func (b *undelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	select {
	case <-b.upload.ended:
	case <-b.ctx.Done():
		return n, b.ctx.Err()
	}
	if b.upload.err != nil {
		return n, errors.Wrap(io.ErrUnexpectedEOF, "the connection ended while the request was being written")
	}
	return n, io.EOF
}
