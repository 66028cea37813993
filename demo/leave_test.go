package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/client"
	"bergamotpin.example/bergamotpin/loadgen"
)

func startSmallDemo(t *testing.T) *Demo {
	t.Helper()
	d, err := Start(t.Context(), Options{
		Workload:  loadgen.CovorulDreptWorkload(-1),
		Fleet:     loadgen.Fleet{DataCentres: 1, Engines: 2, Services: 1},
		Instances: 2,
		Seed:      1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// openStream requests an answer of the given number of tokens and reads the
// first line of the stream.
func openStream(t *testing.T, d *Demo, tokens int) (*http.Response, *bufio.Scanner) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"histories","stream":true,"metadata":{"answer_tokens":"%d"},"messages":[{"role":"user","content":"x"}]}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.CallerAddresses()[0]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+d.opts.Workload.Organisations[0].Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(resp.Body)
	if resp.StatusCode != http.StatusOK || !lines.Scan() {
		t.Fatalf("status %d, first line %q, want status 200 and a line", resp.StatusCode, lines.Text())
	}
	return resp, lines
}

// checkWholeStream reads the rest of a stream. It checks that the stream has a
// frame for each token and ends with the end mark.
func checkWholeStream(t *testing.T, resp *http.Response, lines *bufio.Scanner, tokens int) {
	t.Helper()
	defer resp.Body.Close()
	frames, lastLine := 1, ""
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			frames++
		}
		if lines.Text() != "" {
			lastLine = lines.Text()
		}
	}
	if lastLine != "data: [DONE]" || frames < tokens {
		t.Errorf("got %d frames, want at least one for each token; got last line %q, want the end mark", frames, lastLine)
	}
}

// TestLeavingInstanceFinishesItsStreams checks that a leaving instance does not
// cut an open stream.
func TestLeavingInstanceFinishesItsStreams(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	d := startSmallDemo(t)
	defer d.Close()
	resp, lines := openStream(t, d, 100)
	instance := d.Instances()[0]
	left := make(chan struct{})
	go func() {
		defer close(left)
		instance.Leave()
	}()
	checkWholeStream(t, resp, lines, 100)
	<-left
	http.DefaultClient.CloseIdleConnections()
}

// TestRequestBeingReadAtLeaveIsAnswered stops an instance when the first part of a kept
// connection's second request has been read. The caller must get an answer or a refusal.
func TestRequestBeingReadAtLeaveIsAnswered(t *testing.T) {
	d := startSmallDemo(t)
	defer d.Close()
	expectAnswerBesideLeave(t, d, d.CallerAddresses()[0], "/v1/models")
}

// TestOperatorsRequestBeingReadAtLeaveIsAnswered is the same for operators, who would not know
// whether their change was accepted.
func TestOperatorsRequestBeingReadAtLeaveIsAnswered(t *testing.T) {
	d := startSmallDemo(t)
	defer d.Close()
	expectAnswerBesideLeave(t, d, d.OperatorAddresses()[0], "/healthz")
}

// expectAnswerBesideLeave has the first instance leave while it reads the second request on a
// kept connection, and expects responses to both requests.
func expectAnswerBesideLeave(t *testing.T, d *Demo, address, path string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	firstPart, rest := "GET "+path+" HTTP/1.1\r\nHost: h", ".example\r\n\r\n"
	writePart(t, conn, firstPart+rest)
	readAnswer(t, reader)
	writePart(t, conn, firstPart)
	time.Sleep(100 * time.Millisecond)
	left := make(chan struct{})
	go func() {
		defer close(left)
		d.Instances()[0].Leave()
	}()
	time.Sleep(50 * time.Millisecond)
	writePart(t, conn, rest)
	readAnswer(t, reader)
	<-left
}

func writePart(t *testing.T, conn net.Conn, part string) {
	t.Helper()
	if _, err := io.WriteString(conn, part); err != nil {
		t.Errorf("writing %q failed: %v", part, err)
	}
}

func readAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("got the error %v, want an answer or a refusal", err)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("reading the answer: %v", err)
	}
	_ = resp.Body.Close()
}

// TestDrainedServerFinishesItsStreams checks that a draining engine does not
// cut an open stream. The engine's status must report the engine as drained
// only after the stream has ended.
func TestDrainedServerFinishesItsStreams(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	d := startSmallDemo(t)
	defer d.Close()
	resp, lines := openStream(t, d, 100)
	operatorClient := client.New(d.OperatorAddresses()[0], "")
	for _, name := range []string{"engine-01", "engine-02"} {
		setDrain(t, operatorClient, name)
	}
	awaitDrained(t, operatorClient, "engine-01", "engine-02")
	started := d.Engines()[0].Counters().Started + d.Engines()[1].Counters().Started
	if started != 1 {
		t.Errorf("%d requests started at the engines, want 1", started)
	}
	for _, e := range d.Engines() {
		if running := e.Counters().Running; running != 0 {
			t.Errorf("an engine is reported as drained while it runs %d requests, want 0", running)
		}
	}
	checkWholeStream(t, resp, lines, 100)
	http.DefaultClient.CloseIdleConnections()
}

func setDrain(t *testing.T, c *client.Client, name string) {
	t.Helper()
	obj, err := c.Get(t.Context(), api.KindBackendServer, name)
	if err != nil {
		t.Fatal(err)
	}
	var spec api.BackendServerSpec
	if err := api.DecodeSpec(obj.Spec, &spec); err != nil {
		t.Fatal(err)
	}
	spec.Drain = true
	if obj.Spec, err = json.Marshal(spec); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.Apply(t.Context(), obj, false); err != nil {
		t.Fatal(err)
	}
}

// awaitDrained waits until each named server's status reports the server as
// drained. It fails the test after readyTimeout.
func awaitDrained(t *testing.T, c *client.Client, names ...string) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPollInterval) {
		drained := 0
		for _, name := range names {
			if isDrained(t, c, name) {
				drained++
			}
		}
		if drained == len(names) {
			return
		}
	}
	t.Fatalf("want all servers %v to be reported as drained within readyTimeout", names)
}

func isDrained(t *testing.T, c *client.Client, name string) bool {
	t.Helper()
	obj, err := c.Get(t.Context(), api.KindBackendServer, name)
	if err != nil {
		t.Fatal(err)
	}
	var status api.Status
	if len(obj.Status) > 0 {
		if err := json.Unmarshal(obj.Status, &status); err != nil {
			t.Fatal(err)
		}
	}
	for _, condition := range status.Conditions {
		if condition.Type == api.ConditionDrained {
			return condition.Status && condition.SpecVersion == obj.SpecVersion
		}
	}
	return false
}
