package peer

import (
	"encoding/binary"
	"io"
	"net/netip"

	"github.com/go-faster/errors"
)

// Version is the version of the frames that this package writes and reads.
const Version = 1

// Sizes of the frame headers in bytes. A request has version, kind, sender's IP
// number and port, and the body's length. An answer has version, status and the
// body's length.
const (
	RequestHeaderBytes = 1 + 1 + 16 + 2 + 4
	AnswerHeaderBytes  = 1 + 1 + 4
)

// maxErrorBytes bounds the text of a handler's error in an answer.
const maxErrorBytes = 256

// ErrVersion reports a frame of another version.
var ErrVersion = errors.New("peer: other frame version")

// ErrAddress reports a message whose sender claims another IP number than its
// connection has.
var ErrAddress = errors.New("peer: sender's address does not match its connection")

// RemoteError is the error that a peer's handler returned. Its text is for
// logs only.
type RemoteError struct{ Text string }

// Error returns the text of the peer's error.
func (e *RemoteError) Error() string { return "peer: " + e.Text }

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

// statusErrors maps the statuses that stand for a named error.
var statusErrors = map[status]error{
	statusVersion:   ErrVersion,
	statusNoHandler: ErrNoHandler,
	statusTooLarge:  ErrTooLarge,
	statusMalformed: ErrMalformed,
	statusAddress:   ErrAddress,
}

var statusRefusals = map[status]Refusal{
	statusVersion:   RefusedVersion,
	statusNoHandler: RefusedKind,
	statusTooLarge:  RefusedTooLarge,
	statusMalformed: RefusedMalformed,
	statusAddress:   RefusedAddress,
	statusFailed:    RefusedHandler,
}

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

// readRequest reads one request. It allocates no more than MaxMessageBytes.
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

func appendAnswer(dst []byte, s status, body []byte) []byte {
	dst = append(dst, Version, byte(s))
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	return append(dst, body...)
}

func readAnswer(src io.Reader) (status, []byte, error) {
	var header [AnswerHeaderBytes]byte
	if _, err := io.ReadFull(src, header[:]); err != nil {
		return 0, nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if header[0] != Version {
		return 0, nil, ErrVersion
	}
	body, err := readBody(src, binary.BigEndian.Uint32(header[2:6]))
	return status(header[1]), body, err
}

// readBody reads a body of the stated length and the end of the stream.
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

// statusOf returns the status that tells a sender of err.
func statusOf(err error) status {
	for s, known := range statusErrors {
		if errors.Is(err, known) {
			return s
		}
	}
	return statusFailed
}

// errorOf returns the error that an answer's status stands for.
func errorOf(s status, body []byte) error {
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

func errorText(err error) []byte {
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
	}
	return []byte(text)
}
