package peer

import (
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/go-faster/errors"
)

// Version is the frame version that this package writes and accepts.
const Version = 1

// Sizes of the frame headers in bytes. A request header has the version, the
// kind, the sender's IP address and port, and the length of the body. A
// response header has the version, a status and the length of the body.
const (
	RequestHeaderBytes  = 1 + 1 + 16 + 2 + 4
	ResponseHeaderBytes = 1 + 1 + 4
)

// maxErrorBytes limits the text of a handler's error in a response.
const maxErrorBytes = 256

// ErrVersion reports a frame whose version is not Version.
var ErrVersion = errors.New("peer: other frame version")

// ErrAddress reports a request whose sender claims another IP address than the
// connection has.
var ErrAddress = errors.New("peer: sender's address does not match its connection")

// RemoteError is an error that the peer's handler returned. Its text is for
// logs only.
type RemoteError struct{ Text string }

// Error returns the text of the peer's error.
func (e *RemoteError) Error() string { return "peer: " + e.Text }

// status is the result of a call in a response's header.
type status uint8

const (
	statusOK status = iota
	statusVersion
	statusNoHandler
	statusTooLarge
	statusMalformed
	statusAddress
	statusFailed
)

// statusErrors maps each status that has a sentinel error to that error.
var statusErrors = map[status]error{
	statusVersion:   ErrVersion,
	statusNoHandler: ErrNoHandler,
	statusTooLarge:  ErrTooLarge,
	statusMalformed: ErrMalformed,
	statusAddress:   ErrAddress,
}

// statusRefusals maps each error status to the reason that is counted.
var statusRefusals = map[status]Refusal{
	statusVersion:   RefusedVersion,
	statusNoHandler: RefusedNoHandler,
	statusTooLarge:  RefusedTooLarge,
	statusMalformed: RefusedMalformed,
	statusAddress:   RefusedAddress,
	statusFailed:    RefusedHandler,
}

// request is one decoded request frame.
type request struct {
	kind Kind
	from netip.AddrPort
	body []byte
}

func appendRequest(dst []byte, r request) []byte {
	ip := r.from.Addr().As16()
	dst = append(dst, Version, byte(r.kind))
	dst = append(dst, ip[:]...)
	dst = binary.BigEndian.AppendUint16(dst, r.from.Port())
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(r.body)))
	return append(dst, r.body...)
}

// readRequest reads one request. It fails with ErrTooLarge if the body is
// longer than MaxMessageBytes.
func readRequest(src io.Reader) (request, error) {
	var header [RequestHeaderBytes]byte
	if _, err := io.ReadFull(src, header[:]); err != nil {
		return request{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if header[0] != Version {
		return request{}, ErrVersion
	}
	ip := netip.AddrFrom16([16]byte(header[2:18])).Unmap()
	port := binary.BigEndian.Uint16(header[18:20])
	r := request{kind: Kind(header[1]), from: netip.AddrPortFrom(ip, port)}
	body, err := readBody(src, binary.BigEndian.Uint32(header[20:24]))
	r.body = body
	return r, err
}

func appendResponse(dst []byte, s status, body []byte) []byte {
	dst = append(dst, Version, byte(s))
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	return append(dst, body...)
}

func readResponse(src io.Reader) (status, []byte, error) {
	var header [ResponseHeaderBytes]byte
	if _, err := io.ReadFull(src, header[:]); err != nil {
		return 0, nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if header[0] != Version {
		return 0, nil, ErrVersion
	}
	body, err := readBody(src, binary.BigEndian.Uint32(header[2:6]))
	return status(header[1]), body, err
}

// readBody reads a body of the stated length and checks that the stream ends
// after it.
func readBody(src io.Reader, length uint32) ([]byte, error) {
	if length > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(src, body); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	var extra [1]byte
	if n, _ := src.Read(extra[:]); n > 0 {
		return nil, errors.Wrap(ErrMalformed, "trailing data")
	}
	return body, nil
}

// statusForError returns the status for a response that reports err.
func statusForError(err error) status {
	for s, known := range statusErrors {
		if errors.Is(err, known) {
			return s
		}
	}
	return statusFailed
}

// errorForStatus returns the error that a response's status stands for.
func errorForStatus(s status, body []byte) error {
	if s == statusOK {
		return nil
	}
	if err, ok := statusErrors[s]; ok {
		return err
	}
	if len(body) > maxErrorBytes {
		body = body[:maxErrorBytes]
	}
	return &RemoteError{Text: string(body)}
}

func truncatedErrorText(err error) []byte {
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
	}
	return []byte(text)
}
