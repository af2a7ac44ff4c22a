package e2e

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/papayacove/papayacove/internal/result"
)

func TestUnknownNamesAndPasswords(t *testing.T) {
	tests := []struct {
		name, workspace, group, user, password string
		code                                   result.Code
	}{
		{"workspace", "nobody", group, "crew", "crew", result.UnknownWorkspace},
		{"group", "kelani", "nothing", "crew", "crew", result.UnknownGroup},
		{"user", "kelani", group, "nobody", "crew", result.AuthenticationFailed},
		{"password", "kelani", group, "crew", "wrong", result.AuthenticationFailed},
	}
	throughEachDaemon(t, func(t *testing.T, daemon string) {
		for _, test := range tests {
			url := shared.ConnectURL(daemon, test.workspace, test.group, test.user, test.password)
			conn, err := pgx.Connect(testContext(t), url)
			if err == nil {
				_ = conn.Close(testContext(t))
				t.Fatalf("connect with an unknown or wrong %s succeeded, want an error", test.name)
			}
			wantCode(t, err, test.code)
		}
	})
}
