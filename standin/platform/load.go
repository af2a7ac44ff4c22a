package platform

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/papayacove/papayacove/api"
)

// Content is the state that a stand-in starts from.
type Content struct {
	Objects []api.Object `json:"objects"`
	VMs     []api.VM     `json:"vms"`
}

// Load reads a Content as JSON, stores its objects and replaces the VM list without a lag. It stops at the first
// object whose data is not valid.
func (s *Server) Load(r io.Reader) error {
	var content Content
	if err := json.NewDecoder(r).Decode(&content); err != nil {
		return fmt.Errorf("decode the content: %w", err)
	}
	for _, o := range content.Objects {
		if f := checkData(o.Data); f != nil {
			return fmt.Errorf("object %s/%s: %s", o.Kind, o.Name, f.body.Message)
		}
		s.PutObject(o)
	}
	s.SetVMs(content.VMs, 0)
	return nil
}
