package objectstore

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/rawjson"
)

// kindVM stands for the VM list in logs.
const kindVM = "vm"

// errNoObject means that an entry of a list has no usable kind, name or version.
var errNoObject = errors.New("malformed object")

// decodeList decodes the answer to a list or a watch. An object that cannot be read is logged and left out. It fails if
// the list itself cannot be read, so that what it holds is not known.
func (c *Client) decodeList(text []byte, list *api.ObjectList) error {
	entries, err := entriesOf(text, "objects", &list.Revision)
	if err != nil {
		return err
	}
	list.Objects = make([]api.Object, 0, len(entries))
	for _, entry := range entries {
		o, err := decodeObject(entry)
		if err != nil {
			c.unreadable.Report(logevent.ObjectUnreadable, o.Kind, o.Name, err)
			continue
		}
		c.unreadable.Clear(o.Kind, o.Name)
		list.Objects = append(list.Objects, o)
	}
	return nil
}

// decodeVMs decodes the VM list. A VM that cannot be read is logged and left out. It fails if the list itself cannot be
// read.
func (c *Client) decodeVMs(text []byte, list *api.VMList) error {
	entries, err := entriesOf(text, "vms", &list.Revision)
	if err != nil {
		return err
	}
	list.Vms = make([]api.VM, 0, len(entries))
	for _, entry := range entries {
		var vm api.VM
		if err := json.Unmarshal(entry, &vm); err != nil {
			c.unreadable.Report(logevent.ObjectUnreadable, kindVM, vm.Name, err)
			continue
		}
		c.unreadable.Clear(kindVM, vm.Name)
		list.Vms = append(list.Vms, vm)
	}
	return nil
}

// entriesOf returns the undecoded entries in a field of a list, and decodes its revision.
func entriesOf(text []byte, field string, revision *uint64) ([]json.RawMessage, error) {
	fields, err := rawjson.Fields(text)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(rawjson.Lookup(fields, "revision"), revision); err != nil {
		return nil, fmt.Errorf("revision: %w", err)
	}
	value := rawjson.Lookup(fields, field)
	if value == nil {
		return nil, nil
	}
	return rawjson.Elements(value)
}

// decodeObject decodes an object. Its data is not looked into, and does not share the memory of the text. With an error
// only its kind and name may be set.
func decodeObject(text []byte) (api.Object, error) {
	fields, err := rawjson.Fields(text)
	if err != nil {
		return api.Object{}, fmt.Errorf("%w: %w", errNoObject, err)
	}
	var o api.Object
	for _, field := range []struct {
		name     string
		into     any
		required bool
	}{{"kind", &o.Kind, true}, {"name", &o.Name, true}, {"version", &o.Version, true}, {"deleted", &o.Deleted, false}} {
		value := rawjson.Lookup(fields, field.name)
		if value == nil && !field.required {
			continue
		}
		if err := json.Unmarshal(value, field.into); err != nil {
			return api.Object{Kind: o.Kind, Name: o.Name}, fmt.Errorf("%w: %s", errNoObject, field.name)
		}
	}
	if o.Kind == "" || o.Name == "" {
		return api.Object{Kind: o.Kind, Name: o.Name}, fmt.Errorf("%w: no name", errNoObject)
	}
	o.Data = append(o.Data, rawjson.Lookup(fields, "data")...)
	return o, nil
}
