package database

import "testing"

func TestSetConfigChangesSessionSetting(t *testing.T) {
	conn := connectPGX(t, startTarget(t, Options{}))
	got := mustQuery[string](t, conn, "SELECT set_config('search_path', 'a, b', false)")
	if got != "a, b" {
		t.Errorf("set_config: got %q, want \"a, b\"", got)
	}
	if got := mustQuery[string](t, conn, "SELECT current_setting('search_path')"); got != "a, b" {
		t.Errorf("current_setting: got %q, want \"a, b\"", got)
	}
}
