package netfault

import (
	"encoding/json"
	"net/http"
)

// Status is the state of a link in the admin API.
type Status struct {
	Address string `json:"address"`
	Target  string `json:"target"`
	Faults  Faults `json:"knobs"`
}

// faultsUpdate is the body of POST /links/{name}. A field that is left out keeps its value.
type faultsUpdate struct {
	Faults

	// Silent makes the connections that are open now half-open for the rest of their life.
	Silent bool `json:"silent"`

	// Reset closes the connections that are open now.
	Reset bool `json:"reset"`
}

// AdminHandler returns the admin API of links by name: GET /links returns the status of all
// links, and POST /links/{name} changes the faults of one link or, with the name all, of all.
func AdminHandler(links map[string]*Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, links)
	})
	mux.HandleFunc("POST /links/{name}", func(w http.ResponseWriter, r *http.Request) {
		selected := selectLinks(links, r.PathValue("name"))
		if len(selected) == 0 {
			http.Error(w, "no such link", http.StatusNotFound)
			return
		}
		var body json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, link := range selected {
			if err := updateLink(link, body); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		writeStatus(w, selected)
	})
	return mux
}

// selectLinks returns the link with a name, all links for the name all, or nil if there is no such link.
func selectLinks(links map[string]*Link, name string) map[string]*Link {
	if name == "all" {
		return links
	}
	if link, ok := links[name]; ok {
		return map[string]*Link{name: link}
	}
	return nil
}

// updateLink applies the body of POST /links/{name} to a link. It changes nothing if the body is not valid.
func updateLink(link *Link, body json.RawMessage) error {
	u := faultsUpdate{Faults: link.Faults()}
	if err := json.Unmarshal(body, &u); err != nil {
		return err
	}
	link.SetFaults(u.Faults)
	if u.Silent {
		link.MakeHalfOpen()
	}
	if u.Reset {
		link.Reset()
	}
	return nil
}

// writeStatus sends the status of links by name.
func writeStatus(w http.ResponseWriter, links map[string]*Link) {
	status := make(map[string]Status, len(links))
	for name, link := range links {
		status[name] = Status{Address: link.Address(), Target: link.Target(), Faults: link.Faults()}
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(status)
}
