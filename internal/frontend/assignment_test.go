package frontend

import (
	"testing"

	"github.com/papayacove/papayacove/internal/result"
)

func parseOne(t *testing.T, text string) (assignment, *result.Error) {
	t.Helper()
	q := classify(text)
	if len(q.statements) != 1 || !q.isLocal() {
		t.Fatalf("classify(%q): want one statement that the frontend answers", text)
	}
	assignments, err := parseAssignments(&q.statements[0])
	if err != nil {
		return assignment{}, err
	}
	return assignments[0], nil
}

func TestParseAssignment(t *testing.T) {
	for text, want := range map[string]assignment{
		"SET work_mem = '1MB'":                      {name: "work_mem", value: "1MB"},
		"SET SESSION work_mem TO 4096;":             {name: "work_mem", value: "4096"},
		"SET extra_float_digits = -1":               {name: "extra_float_digits", value: "-1"},
		"SET jit TO off":                            {name: "jit", value: "off"},
		"SET jit TO DEFAULT":                        {name: "jit", isDefault: true},
		"SET DateStyle = ISO, DMY":                  {name: "datestyle", value: "iso, dmy"},
		`SET search_path TO "$user", Public, 'A b'`: {name: "search_path", value: `"$user", public, "A b"`},
		"SET SCHEMA 'kelani'":                       {name: "search_path", value: "kelani"},
		"SET TIME ZONE 'Asia/Colombo'":              {name: "timezone", value: "Asia/Colombo"},
		"SET TIME ZONE LOCAL":                       {name: "timezone", isDefault: true},
		"SET NAMES 'utf8'":                          {name: "client_encoding", value: "utf8"},
		"SET app.user_id = '7'":                     {name: "app.user_id", value: "7"},
		"SET papayacove.max_staleness = '5s'":       {name: maxStalenessName, value: "5s"},
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY, ISOLATION LEVEL SERIALIZABLE": {name: readOnlyName, value: "on"},
		"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL READ COMMITTED":          {name: "default_transaction_isolation", value: "read committed"},
		"RESET work_mem":  {name: "work_mem", isDefault: true},
		"RESET TIME ZONE": {name: "timezone", isDefault: true},
		"RESET ALL":       {isDefault: true},
		"SELECT set_config('Work_Mem', '1MB', false)": {name: "work_mem", value: "1MB"},
	} {
		got, err := parseOne(t, text)
		if err != nil || got != want {
			t.Errorf("assignment of %q = %+v, error %v; want %+v", text, got, err, want)
		}
	}
}

func TestUnsupportedAssignmentsAreRefused(t *testing.T) {
	for _, text := range []string{
		"SET ROLE admin",
		"SET SESSION AUTHORIZATION admin",
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ SOMETIMES",
		"SET SESSION CHARACTERISTICS AS TRANSACTION",
		"SET synchronous_commit = off",
		"SET standard_conforming_strings = off",
		"SET client_encoding = 'LATIN1'",
		"SET work_mem",
		"SET work_mem = ",
		"SET work_mem = 1, 2",
		"SET search_path = a,",
		"SET papayacove.position = '1/1'",
		"SET papayacove.max_staleness = 'soon'",
		"SELECT set_config('a.b', lower('c'), false)",
		"SELECT set_config('a.b', 'c', false), f(1, true)",
	} {
		a, err := parseOne(t, text)
		if err == nil {
			var settings sessionSettings
			err = settings.assign(a)
		}
		if result.CodeOf(asError(err)) != result.Unsupported {
			t.Errorf("%q: error = %v, want unsupported", text, err)
		}
	}
}

func asError(err *result.Error) error {
	if err == nil {
		return nil
	}
	return err
}

func TestResetRestoresStartupValues(t *testing.T) {
	var settings sessionSettings
	err := settings.applyStartup(map[string]string{
		"user":             "crew",
		"application_name": "rounds",
		"options":          `-c work_mem=1MB --lock-timeout=5s -c app.name=a\ b -cpapayacove.max_staleness=5s`,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range []assignment{{name: "work_mem", value: "2MB"}, {name: "jit", value: "off"}, {name: maxStalenessName, value: "off"}} {
		if err := settings.assign(change); err != nil {
			t.Fatal(err)
		}
	}
	settings.resetAll()
	for name, want := range map[string]string{"work_mem": "1MB", "lock_timeout": "5s", "app.name": "a b", "application_name": "rounds"} {
		if got, _ := settingValue(settings.current, name); got != want {
			t.Errorf("%s = %q, want %q", name, got, want)
		}
	}
	if _, ok := settingValue(settings.current, "jit"); ok {
		t.Error("jit is set after the reset, want it unset")
	}
	if settings.maxAge.Seconds() != 5 {
		t.Errorf("maxAge = %v, want 5s", settings.maxAge)
	}
}
