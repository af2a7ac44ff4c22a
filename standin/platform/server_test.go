package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

func start(t *testing.T) *Server {
	t.Helper()
	server := New(Options{AdminAddress: "127.0.0.1:0", Seed: 1})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

// request sends a request and returns the status and the body. The status is 0 if the
// connection ended without a response.
func request(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// expect fails the test unless a request gets a response with the status and a body that contains the text.
func expect(t *testing.T, method, url, body string, status int, text string) {
	t.Helper()
	gotStatus, got := request(t, method, url, body)
	if gotStatus != status || !strings.Contains(got, text) {
		t.Fatalf("%s %s: got %d %s; want %d %s", method, url, gotStatus, got, status, text)
	}
}

func TestObjectAPI(t *testing.T) {
	server := start(t)
	object := server.URL() + "/v1/objects/workspace/kelani"
	expect(t, "GET", object, "", 404, `"not_found"`)
	expect(t, "POST", object, `{"data":{"a":1}}`, 200, `"version":1`)
	expect(t, "POST", object, `{"data":{"a":2}}`, 409, `"exists"`)
	expect(t, "PUT", object, `{"version":7,"data":{}}`, 409, `"conflict"`)
	expect(t, "PUT", object, `{"version":1,"data":{"a":3}}`, 200, `"version":2`)
	expect(t, "PUT", object, `{"version":2,"data":[]}`, 400, `"invalid"`)
	large := fmt.Sprintf(`{"version":2,"data":{"a":"%s"}}`, strings.Repeat("x", maxDataBytes))
	expect(t, "PUT", object, large, 413, `"too_large"`)
	expect(t, "GET", server.URL()+"/v1/objects/workspace", "", 200, `"revision":2`)
	expect(t, "GET", server.URL()+"/v1/objects/template", "", 200, `"objects":[]`)
	expect(t, "DELETE", object+"?version=1", "", 409, `"conflict"`)
	expect(t, "DELETE", object+"?version=2", "", 200, `"deleted":true`)
	watch := server.URL() + "/v1/watch?kinds=workspace&timeout_ms=0&after="
	expect(t, "GET", watch+"2", "", 200, `"deleted":true`)
	expect(t, "GET", watch+"3", "", 200, `"objects":[]`)
	expect(t, "GET", watch+"4", "", 410, `"invalid"`)
	server.Compact()
	expect(t, "GET", watch+"2", "", 410, `"invalid"`)
	expect(t, "GET", server.URL()+"/v1/counts", "", 200, `"watch":4`)
}

func TestFaultsOverAdminAPI(t *testing.T) {
	server := start(t)
	faults := "http://" + server.AdminAddress() + "/knobs"
	object := server.URL() + "/v1/objects/workspace/w"
	expect(t, "POST", faults, `{"lose_next":1}`, 200, `"lose_next":1`)
	expect(t, "POST", faults, `{"delay_ms":1}`, 200, `"lose_next":1`)
	expect(t, "POST", object, `{"data":{}}`, 0, "")
	expect(t, "POST", object, `{"data":{}}`, 409, `"exists"`)
	expect(t, "POST", faults, `{"down":true}`, 200, `"down":true`)
	expect(t, "DELETE", object+"?version=1", "", 0, "")
	expect(t, "POST", faults, `{"down":false}`, 200, `"down":false`)
	expect(t, "GET", object, "", 200, `"version":1`)
}

func TestOutageEndsWaitingWatch(t *testing.T) {
	server := start(t)
	ended := make(chan int)
	go func() {
		status, _ := request(t, "GET", server.URL()+"/v1/vms/watch?after=0&timeout_ms=60000", "")
		ended <- status
	}()
	for server.Counts().WatchVMs == 0 {
		time.Sleep(time.Millisecond)
	}
	server.SetFaults(Faults{Down: true})
	if status := <-ended; status != 0 {
		t.Fatalf("watch during an outage: got status %d, want the connection dropped without a response", status)
	}
}

func TestLostResponsesFollowTheSeed(t *testing.T) {
	draw := func() string {
		f := newFaultInjector(7)
		f.set(Faults{ResponseLossProbability: 0.5})
		var text strings.Builder
		for range 64 {
			fmt.Fprint(&text, f.losesResponse())
		}
		return text.String()
	}
	if first := draw(); first != draw() || !strings.Contains(first, "true") || !strings.Contains(first, "false") {
		t.Fatalf("losesResponse with seed 7: got %s, want the same results in each run, with both true and false", first)
	}
}

func TestLoad(t *testing.T) {
	server := start(t)
	content, err := json.Marshal(Content{
		Objects: []api.Object{{Kind: "group", Name: "rounds-1", Data: []byte("{}")}},
		VMs:     []api.VM{{Name: "entry-2"}, {Name: "entry-1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Load(strings.NewReader(string(content))); err != nil {
		t.Fatal(err)
	}
	expect(t, "GET", server.URL()+"/v1/objects/group", "", 200, `"rounds-1"`)
	list, _ := server.vms.get()
	if len(list.Vms) != 2 || list.Vms[0].Name != "entry-1" {
		t.Fatalf("VM list after Load: got %+v, want entry-1 and entry-2 in this order", list)
	}
}
