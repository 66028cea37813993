package engineclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/engineapi"
	"bergamotpin.example/bergamotpin/standin/rawserver"
)

// readAttempt reads one request with its body, and returns its attempt ID, or "" at the end of the
// connection.
func readAttempt(r *bufio.Reader) string {
	return rawserver.ReadRequest(r).Get(engineapi.HeaderAttempt)
}

func responseText(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// frames returns the data of a stream's frames.
func frames(t *testing.T, s *Stream) (data []string) {
	t.Helper()
	defer s.Close()
	for frame, err := range s.Frames() {
		if err != nil {
			t.Error(err)
			break
		}
		data = append(data, frame.Data)
	}
	return data
}

// TestLateCopyAnswersNoOtherRequest guards against a server that writes an earlier answer once more
// after the next request came on the same connection. Engines name no request in their answers, so
// that a refusal would have a request run twice, and a stream would go to another caller.
func TestLateCopyAnswersNoOtherRequest(t *testing.T) {
	for name, earlier := range map[string]string{
		"refusal": responseText(503, "Not-Started: true\r\n", ""),
		"stream":  responseText(200, "Content-Type: text/event-stream\r\n", "data: first\n\ndata: [DONE]\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			server := rawserver.Start(t, func(_ int, c *net.TCPConn, r *bufio.Reader) {
				copied := ""
				for attempt := readAttempt(r); attempt != ""; attempt = readAttempt(r) {
					_, _ = io.WriteString(c, copied)
					if attempt == "first" {
						copied = earlier
						_, _ = io.WriteString(c, earlier)
						continue
					}
					_, _ = io.WriteString(c, responseText(200, "", "data: "+attempt+"\n\ndata: [DONE]\n\n"))
				}
			})
			client := NewClient(nil)
			defer client.Close()
			if first, err := client.Complete(t.Context(), StreamRequest{Address: server.Address.String(), Attempt: "first"}); err == nil {
				_ = frames(t, first)
			}
			// The transport keeps a connection only once its response was read to the end.
			time.Sleep(20 * time.Millisecond)
			second, err := client.Complete(t.Context(), StreamRequest{Address: server.Address.String(), Attempt: "second"})
			if err != nil {
				t.Fatalf("got error %v, want the answer to the request that was sent", err)
			}
			if got := fmt.Sprint(frames(t, second)); got != "[second]" {
				t.Errorf("got the frames %s, want [second]", got)
			}
		})
	}
}
