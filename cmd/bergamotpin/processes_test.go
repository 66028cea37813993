package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bergamotpin.example/bergamotpin/api"
	"bergamotpin.example/bergamotpin/objects"
	"bergamotpin.example/bergamotpin/peer"
	"bergamotpin.example/bergamotpin/routing"
)

// waitTimeout is the longest time that the test waits until an instance is
// ready. Normally an instance is ready within a second.
const waitTimeout = 30 * time.Second

// TestRequestsSurviveKilledEngineAndInstance runs a stand-in platform, two
// stand-in engines and two entry instances as separate processes. It kills an
// engine and then the first instance. Before the kills, both instances must give
// the same answer. After each kill, the second instance must still give this
// answer.
func TestRequestsSurviveKilledEngineAndInstance(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "bergamotpin")
	runCommand(t, "go", "build", "-o", binary, ".")

	platform := startStandin(t, binary, "platform")
	engines := []*process{
		startStandin(t, binary, "engine", "--model", "loom-1"),
		startStandin(t, binary, "engine", "--model", "loom-1"),
	}
	createResources(t, platform.address, engines)
	writeCertificates(t, dir)
	first := startInstance(t, binary, dir, "dc1-a", platform.address, nil)
	second := startInstance(t, binary, dir, "dc1-b", platform.address, first)

	want := complete(t, first.callers)
	if got := complete(t, second.callers); got != want {
		t.Errorf("the first instance answered %q and the second %q, want the same answer", want, got)
	}
	engines[0].kill(t)
	for range 4 {
		if got := complete(t, second.callers); got != want {
			t.Errorf("after an engine was killed: got answer %q, want %q", got, want)
		}
	}
	first.kill(t)
	for range 4 {
		if got := complete(t, second.callers); got != want {
			t.Errorf("after an instance was killed: got answer %q, want %q", got, want)
		}
	}
	second.stop(t)
}

func runCommand(t *testing.T, name string, args ...string) {
	t.Helper()
	if out, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
}

// process is a program that the test has started.
type process struct {
	cmd *exec.Cmd
	// address is the address at which a stand-in serves. It is empty for other
	// programs.
	address string
}

// startProcess starts a program and returns its standard output. After the test
// the program is killed, and its standard error is logged if the test failed.
func startProcess(t *testing.T, binary string, args ...string) (*process, io.Reader) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = &bytes.Buffer{}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("%v:\n%s", args, cmd.Stderr)
		}
	})
	return p, out
}

// startStandin starts a stand-in on a free port and reads its address from the
// output.
func startStandin(t *testing.T, binary string, args ...string) *process {
	t.Helper()
	p, out := startProcess(t, binary, append([]string{"standin"}, append(args, "--listen", "127.0.0.1:0")...)...)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	p.address = strings.TrimSpace(strings.TrimPrefix(line, "serving on "))
	return p
}

func (p *process) kill(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = p.cmd.Wait()
}

// instanceProcess is an entry instance that runs as a process.
type instanceProcess struct {
	*process
	// callers and peers are the addresses at which the instance serves callers
	// and other instances.
	callers, peers string
}

// stop interrupts the instance and waits for it to exit without an error.
func (p *instanceProcess) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the interrupted instance exited with %v, want exit code 0", err)
	}
}

// startInstance starts an entry instance and waits until it is ready. If seed is
// not nil, the new instance joins the instance seed.
func startInstance(t *testing.T, binary, dir, name, platform string, seed *instanceProcess) *instanceProcess {
	t.Helper()
	callers, operators, peers := freePort(t, "tcp"), freePort(t, "tcp"), freePort(t, "udp")
	seeds := ""
	if seed != nil {
		seeds = fmt.Sprintf("seeds = [%q]", seed.peers)
	}
	settings := fmt.Sprintf(`[instance]
name = %q
data_centre = "dc1"
[listen]
callers = %q
operators = %q
peers = %q
[platform]
address = %q
[peers]
%s
ca = %q
certificate = %q
key = %q
`, name, callers, operators, peers, platform, seeds,
		filepath.Join(dir, "ca.pem"), filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"))
	path := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p, _ := startProcess(t, binary, "serve", "-c", path)
	awaitOK(t, "http://"+operators+"/readyz")
	return &instanceProcess{process: p, callers: callers, peers: peers}
}

// freePort returns a loopback address with a port that is currently free.
func freePort(t *testing.T, network string) string {
	t.Helper()
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		return conn.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitOK polls a URL until it responds with status 200.
func awaitOK(t *testing.T, url string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s did not respond with status 200 within waitTimeout", url)
}

// writeCertificates writes the certificates for the connections between
// instances to dir.
func writeCertificates(t *testing.T, dir string) {
	t.Helper()
	authority, err := peer.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	pem, err := authority.IssuePEM(netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		t.Fatal(err)
	}
	files := map[string][]byte{"ca.pem": pem.Authority, "cert.pem": pem.Certificate, "key.pem": pem.Key}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// createResources writes a configuration with one class, one organisation, one
// route and the given engines.
func createResources(t *testing.T, platform string, engines []*process) {
	t.Helper()
	client := objects.New(objects.Options{BaseURL: "http://" + platform})
	create := func(kind api.Kind, name string, spec any) {
		raw, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Create(context.Background(), api.Object{Kind: kind, Name: name, Spec: raw}); err != nil {
			t.Fatal(err)
		}
	}
	create(api.KindServiceClass, "lookup", api.ServiceClassSpec{Default: true, FirstToken: api.Duration(2 * time.Second)})
	create(api.KindOrganisation, "dealer", api.OrganisationSpec{KeyHashes: []string{routing.HashKey("secret")}})
	create(api.KindRoute, "loom", api.RouteSpec{Versions: []api.RouteVersion{{Model: "loom-1", Weight: 1}}, Idempotent: true})
	for n, e := range engines {
		create(api.KindBackendServer, fmt.Sprintf("engine-%d", n+1), api.BackendServerSpec{
			Address: e.address, DataCentre: "dc1", Models: []string{"loom-1"}, Slots: 4,
		})
	}
}

// complete sends a request for a streamed completion and returns the text of
// the answer.
func complete(t *testing.T, callers string) string {
	t.Helper()
	body := `{"model":"loom","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"What is a kilim?"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(answer), "data: [DONE]\n\n") {
		t.Fatalf("completion: status %d, body %s; want 200 with a whole stream", resp.StatusCode, answer)
	}
	return streamText(t, string(answer))
}

// streamText returns the text in the chunks of a stream.
func streamText(t *testing.T, stream string) string {
	t.Helper()
	var out strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		for _, c := range chunk.Choices {
			out.WriteString(c.Delta.Content)
		}
	}
	return out.String()
}
