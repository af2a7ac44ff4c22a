package frontend

import (
	"slices"
	"strings"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	maxStalenessName     = ownPrefix + ".max_staleness"
	operationKeyName     = ownPrefix + ".operation_key"
	positionName         = ownPrefix + ".position"
	outcomeName          = ownPrefix + ".outcome"
	readOnlyName         = "default_transaction_read_only"
	maxSettings          = 64
	maxSettingBytes      = 4096
	maxOperationKeyBytes = 256
)

// sessionSettings are the run-time parameters of one session.
type sessionSettings struct {
	// current and initial are in the order of the first SET of each parameter. They are replaced and
	// never changed in place, because batches refer to them.
	current []api.SessionSetting
	initial []api.SessionSetting
	// maxAge is the allowed age of reads; negative when reads are bound by the minimum position of the session only.
	maxAge        time.Duration
	initialMaxAge time.Duration
	// operationKey is the key of the next transaction that may write; empty for none.
	operationKey string
	// lastOperationKey is the key that the most recent transaction with a key used; empty for none.
	lastOperationKey string
}

// assign applies a SET, RESET or set_config.
func (s *sessionSettings) assign(a assignment) *result.Error {
	switch a.name {
	case allParameters:
		s.resetAll()
		return nil
	case maxStalenessName:
		return s.assignMaxStaleness(a)
	case operationKeyName:
		return s.assignOperationKey(a)
	}
	if strings.HasPrefix(a.name, ownPrefix+".") {
		return result.Errorf(result.Unsupported, "parameter %q cannot be set", a.name)
	}
	if a.isDefault {
		s.reset(a.name)
		return nil
	}
	if err := checkParameter(a.name, a.value); err != nil {
		return err
	}
	if len(a.value) > maxSettingBytes {
		return result.Errorf(result.Unsupported, "the value of %q is longer than %d bytes", a.name, maxSettingBytes)
	}
	changed, ok := withSetting(s.current, a.name, a.value)
	if !ok {
		return result.Errorf(result.Unsupported, "a session may set at most %d parameters", maxSettings)
	}
	s.current = changed
	return nil
}

func (s *sessionSettings) assignMaxStaleness(a assignment) *result.Error {
	if a.isDefault {
		s.maxAge = s.initialMaxAge
		return nil
	}
	age, err := parseMaxStaleness(a.value)
	if err != nil {
		return err
	}
	s.maxAge = age
	return nil
}

func (s *sessionSettings) assignOperationKey(a assignment) *result.Error {
	if err := checkOperationKey(a.value); err != nil {
		return err
	}
	s.operationKey = a.value
	return nil
}

func checkOperationKey(key string) *result.Error {
	if len(key) > maxOperationKeyBytes {
		return result.Errorf(result.Unsupported, "an operation key has at most %d bytes", maxOperationKeyBytes)
	}
	return nil
}

// reset restores the value that a parameter had at the start of the session.
func (s *sessionSettings) reset(name string) {
	value, ok := settingValue(s.initial, name)
	if ok {
		s.current, _ = withSetting(s.current, name, value)
		return
	}
	s.current = slices.DeleteFunc(slices.Clone(s.current), func(setting api.SessionSetting) bool {
		return setting.Name == name
	})
}

// resetAll restores every parameter to its value at the start of the session.
func (s *sessionSettings) resetAll() {
	s.current = s.initial
	s.maxAge = s.initialMaxAge
	s.operationKey = ""
}

// saveInitial makes the current values those that RESET restores.
func (s *sessionSettings) saveInitial() {
	s.initial = s.current
	s.initialMaxAge = s.maxAge
}

// isReadOnly reports whether transactions are read-only by default.
func (s *sessionSettings) isReadOnly() bool {
	value, ok := settingValue(s.current, readOnlyName)
	return ok && isOn(value)
}

func settingValue(settings []api.SessionSetting, name string) (string, bool) {
	for _, setting := range settings {
		if setting.Name == name {
			return setting.Value, true
		}
	}
	return "", false
}

// withSetting returns a copy of settings in which one parameter is set. It returns false when the copy would have
// more than maxSettings parameters.
func withSetting(settings []api.SessionSetting, name, value string) ([]api.SessionSetting, bool) {
	changed := slices.Clone(settings)
	for i := range changed {
		if changed[i].Name == name {
			changed[i].Value = value
			return changed, true
		}
	}
	if len(changed) >= maxSettings {
		return settings, false
	}
	return append(changed, api.SessionSetting{Name: name, Value: value}), true
}
