package objectstore

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
)

// deep is JSON that is nested deeper than encoding/json accepts.
var deep = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// clientOf returns a client of a platform that answers each call with a text.
func clientOf(t *testing.T, text string) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := w.Write([]byte(text)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	client := NewClient(Options{URL: server.URL, Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	return client
}

// TestObjectThatCannotBeReadIsLeftOutAlone guards against a daemon that stops following the platform for one odd object
// or VM: the others of the answer are delivered, and it is logged once.
func TestObjectThatCannotBeReadIsLeftOutAlone(t *testing.T) {
	for _, odd := range []string{
		deep, `{"kind":"group","name":"odd","version":"7"}`, `{"kind":"group","name":"odd","version":1e999,"data":{}}`,
		`{"kind":"group","name":"","version":7}`,
		`{"kind":` + deep + `,"name":"odd","version":7}`, `{"kind":"group","name":"odd","version":7,"deleted":"no"}`,
		`null`, `7`, `{}`, `{"name":7}`,
	} {
		client := clientOf(t, `{"revision":9,"objects":[{"kind":"group","name":"a","version":1,"data":`+deep+`},`+odd+`,{"kind":"group","name":"z","version":2,"deleted":true}]}`)
		var output bytes.Buffer
		before, level := logrus.StandardLogger().Out, logrus.GetLevel()
		logrus.SetOutput(&output)
		logrus.SetLevel(logrus.WarnLevel)
		for range 2 {
			list, err := client.List(t.Context(), KindGroup)
			changes, watchErr := client.Watch(t.Context(), 1, time.Second, KindGroup)
			for _, got := range []api.ObjectList{list, changes} {
				if err != nil || watchErr != nil || got.Revision != 9 || len(got.Objects) != 2 || string(got.Objects[0].Data) != deep || !got.Objects[1].Deleted {
					t.Errorf("%.60s: got %d objects of revision %d, errors %v, %v, want a and the deletion of z", odd, len(got.Objects), got.Revision, err, watchErr)
				}
			}
		}
		logrus.SetOutput(before)
		logrus.SetLevel(level)
		if lines := strings.Count(output.String(), "object_unreadable"); lines != 1 {
			t.Errorf("%.60s: got %d lines, want it reported once", odd, lines)
		}
	}
}

// TestVMThatCannotBeReadIsLeftOutAlone is the same for the VM list.
func TestVMThatCannotBeReadIsLeftOutAlone(t *testing.T) {
	for _, odd := range []string{deep, `{"name":7}`, `{"name":"odd","zone":` + deep + `}`, `7`, `[]`} {
		list, err := clientOf(t, `{"revision":9,"vms":[{"name":"a"},`+odd+`,{"name":"z"}]}`).VMs(t.Context())
		names := slices.Collect(func(yield func(string) bool) {
			for _, vm := range list.Vms {
				yield(vm.Name)
			}
		})
		if err != nil || list.Revision != 9 || !slices.Equal(names, []string{"a", "z"}) {
			t.Errorf("%.60s: got %v of revision %d, error %v, want a and z", odd, names, list.Revision, err)
		}
	}
}

// TestMalformedListsAreNoAnswers guards against a damaged list that is taken for a shorter one.
func TestMalformedListsAreNoAnswers(t *testing.T) {
	for _, text := range []string{``, `[]`, `{}`, `{"revision":9,"objects":[{"kind":"group"}`, `{"revision":"9","objects":[]}`, `{"revision":9,"objects":{},"vms":7}`} {
		client := clientOf(t, text)
		_, listErr := client.List(t.Context(), KindGroup)
		_, vmErr := client.VMs(t.Context())
		if listErr == nil || vmErr == nil {
			t.Errorf("%q: got errors %v and %v, want two", text, listErr, vmErr)
		}
	}
}

// FuzzList reads an arbitrary object beside a good one, which is delivered whatever the other one is.
func FuzzList(f *testing.F) {
	for _, text := range []string{`{"kind":"group","name":"a","version":1,"data":{}}`, `{"kind":7}`, `null`, `[[]]`, `{"version":1e999}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		client := &Client{}
		var alone, beside api.ObjectList
		if client.decodeList(fmt.Appendf(nil, `{"revision":9,"objects":[%s]}`, text), &alone) != nil {
			return
		}
		err := client.decodeList(fmt.Appendf(nil, `{"revision":9,"objects":[%s,{"kind":"group","name":"good","version":2}]}`, text), &beside)
		if len(bytes.TrimSpace(text)) > 0 && (err != nil || len(beside.Objects) != len(alone.Objects)+1) {
			t.Fatalf("%q: got %d objects and error %v beside a good one, %d alone", text, len(beside.Objects), err, len(alone.Objects))
		}
		for _, o := range alone.Objects {
			if o.Kind == "" || o.Name == "" {
				t.Fatalf("%q: got object %+v", text, o)
			}
		}
	})
}
