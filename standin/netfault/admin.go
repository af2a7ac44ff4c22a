package netfault

import (
	"encoding/json"
	"net/http"
)

// Status describes a link.
type Status struct {
	Address string `json:"address"`
	Target  string `json:"target"`
	Knobs   Knobs  `json:"knobs"`
}

// knobsUpdate is the body of POST /links/{name}; fields left out keep their values.
type knobsUpdate struct {
	Knobs

	// Silent makes the open connections swallow data for good.
	Silent bool `json:"silent"`

	// Reset ends the open connections.
	Reset bool `json:"reset"`
}

// AdminHandler returns the admin API of links by name: GET /links, and POST /links/{name} to
// change the knobs of one or, with the name all, of all.
func AdminHandler(links map[string]*Link) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, links)
	})
	mux.HandleFunc("POST /links/{name}", func(w http.ResponseWriter, r *http.Request) {
		chosen := choose(links, r.PathValue("name"))
		if len(chosen) == 0 {
			http.Error(w, "no such link", http.StatusNotFound)
			return
		}
		var body json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, link := range chosen {
			if err := update(link, body); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		writeStatus(w, chosen)
	})
	return mux
}

// choose returns the links of a name.
func choose(links map[string]*Link, name string) map[string]*Link {
	if name == "all" {
		return links
	}
	if link, ok := links[name]; ok {
		return map[string]*Link{name: link}
	}
	return nil
}

// update changes the knobs of a link.
func update(link *Link, body json.RawMessage) error {
	u := knobsUpdate{Knobs: link.Knobs()}
	if err := json.Unmarshal(body, &u); err != nil {
		return err
	}
	link.SetKnobs(u.Knobs)
	if u.Silent {
		link.Silence()
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
		status[name] = Status{Address: link.Address(), Target: link.Target(), Knobs: link.Knobs()}
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(status)
}
