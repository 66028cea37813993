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

// patience bounds a wait that normally ends within a second.
const patience = 30 * time.Second

// TestSeparateProcesses runs the path as processes: a platform, two engines
// and two entry instances. It kills an engine and an instance, and goes on.
func TestSeparateProcesses(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "bergamotpin")
	run(t, "go", "build", "-o", binary, ".")

	platform := startStandin(t, binary, "platform")
	engines := []*process{
		startStandin(t, binary, "engine", "--model", "loom-1"),
		startStandin(t, binary, "engine", "--model", "loom-1"),
	}
	configure(t, platform.address, engines)
	writeIdentity(t, dir)
	first := startInstance(t, binary, dir, "dc1-a", platform.address, nil)
	second := startInstance(t, binary, dir, "dc1-b", platform.address, first)

	want := complete(t, first.callers)
	if got := complete(t, second.callers); got != want {
		t.Errorf("two instances answered %q and %q", want, got)
	}
	engines[0].kill(t)
	for range 4 {
		if got := complete(t, second.callers); got != want {
			t.Errorf("after an engine's death: got %q, want %q", got, want)
		}
	}
	first.kill(t)
	for range 4 {
		if got := complete(t, second.callers); got != want {
			t.Errorf("after an instance's death: got %q, want %q", got, want)
		}
	}
	second.stop(t)
}

func run(t *testing.T, name string, args ...string) {
	t.Helper()
	if out, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
}

// process is a started program.
type process struct {
	cmd     *exec.Cmd
	address string
}

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

// instanceProcess is an entry instance as a process.
type instanceProcess struct {
	*process
	callers, peers string
}

// stop asks the instance to leave and waits for a clean exit.
func (p *instanceProcess) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the instance left with %v", err)
	}
}

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
	awaitStatus(t, "http://"+operators+"/readyz")
	return &instanceProcess{process: p, callers: callers, peers: peers}
}

// freePort returns an address that was free a moment ago.
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

func awaitStatus(t *testing.T, url string) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s did not answer 200", url)
}

func writeIdentity(t *testing.T, dir string) {
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

func configure(t *testing.T, platform string, engines []*process) {
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

// complete sends a streamed request and returns the answer's text.
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
		t.Fatalf("status %d: %s", resp.StatusCode, answer)
	}
	return text(t, string(answer))
}

func text(t *testing.T, stream string) string {
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
