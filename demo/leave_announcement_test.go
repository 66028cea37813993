package demo

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestResponseThatBeginsAfterLeaveAnnouncesEndOfConnection guards against callers that send their next request on a
// connection that the leaving instance is about to close.
func TestResponseThatBeginsAfterLeaveAnnouncesEndOfConnection(t *testing.T) {
	d := startSmallDemo(t)
	defer d.Close()
	const body = `{"model":"histories","metadata":{"answer_tokens":"200"},"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddresses()[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+d.opts.Workload.Organisations[0].Key)
	left := make(chan struct{})
	var leaveBegan time.Time
	go func() {
		defer close(left)
		time.Sleep(100 * time.Millisecond)
		leaveBegan = time.Now()
		d.Instances()[0].Leave()
	}()
	resp, err := http.DefaultClient.Do(req)
	responseBegan := time.Now()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	<-left
	if resp.StatusCode != http.StatusOK || responseBegan.Sub(leaveBegan) < 50*time.Millisecond {
		t.Fatalf("got status %d %s after the leave, want 200 well after it", resp.StatusCode, responseBegan.Sub(leaveBegan))
	}
	if !resp.Close {
		t.Error("the response does not announce the end of the connection, want it to")
	}
	http.DefaultClient.CloseIdleConnections()
}
