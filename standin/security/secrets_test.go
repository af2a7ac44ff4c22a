package security

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// The secrets that the test uses. They must not appear in any log, page or error.
const (
	wrongPassword = "swordfish-password"
	parameterText = "swordfish-parameter"
	literalText   = "swordfish-literal"
	settingText   = "swordfish-setting"
	operationKey  = "swordfish-key"
)

// verifierPart is a part of the password verifier of the user crew in the example workspace.
const verifierPart = "qi5DCIKXZahqhPiF4PcGcs"

// TestNoSecretInLogsAndPages searches logs at level debug, admin pages and errors for passwords, verifiers, statement
// parameters, literals, settings, operation keys and private keys.
func TestNoSecretInLogsAndPages(t *testing.T) {
	var texts []string
	_, err := dial(t, daemonName(0), "kelani", group, "crew", wrongPassword)
	if err == nil {
		t.Fatal("connect with a wrong password succeeded, want an error")
	}
	texts = append(texts, err.Error())
	conn := connect(t, daemonName(0), "kelani")
	mustExec(t, conn, "/* papayacove operation_key="+operationKey+" */ CREATE TABLE keyed (v text)")
	_, _ = conn.Exec(testContext(t), "/* papayacove operation_key="+operationKey+" */ DROP TABLE keyed")
	mustExec(t, conn, "SET kelani.secret = '"+settingText+"'")
	mustExec(t, conn, "CREATE TABLE secrets (v text PRIMARY KEY)")
	mustExec(t, conn, "INSERT INTO secrets VALUES ($1)", parameterText)
	mustExec(t, conn, "INSERT INTO secrets VALUES ('"+literalText+"')", pgx.QueryExecModeSimpleProtocol)
	for _, text := range []string{"SELECT * FROM nowhere WHERE v = '" + literalText + "'", "BEGIN; LISTEN a"} {
		_, _ = conn.Exec(testContext(t), text, pgx.QueryExecModeSimpleProtocol)
	}
	texts = append(texts, readLogs(t)...)
	texts = append(texts, readPages(t)...)
	for _, text := range texts {
		for _, secret := range []string{wrongPassword, parameterText, literalText, settingText, operationKey, verifierPart, "PRIVATE KEY"} {
			if i := strings.Index(text, secret); i >= 0 {
				t.Errorf("found the secret %s in: %s", secret, text[max(0, i-200):min(len(text), i+100)])
			}
		}
	}
}

// readLogs returns the logs of the daemons, one text each. It fails the test if no log has a line of level debug, since
// the search would then prove little.
func readLogs(t *testing.T) []string {
	t.Helper()
	var texts []string
	for _, settings := range shared.Deployment.Settings {
		content, err := os.ReadFile(filepath.Join(workFolder, settings.Name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(content))
	}
	if !strings.Contains(strings.Join(texts, ""), "level=debug") {
		t.Error("found no line of level debug in any log")
	}
	return texts
}

// readPages returns the admin pages of the daemons, one text each.
func readPages(t *testing.T) []string {
	t.Helper()
	var texts []string
	for _, settings := range shared.Deployment.Settings {
		for _, page := range []string{"/status", "/decisions", "/debug/vars", "/readyz"} {
			answer, err := http.Get("http://" + settings.AdminAddress + page)
			if err != nil {
				t.Fatal(err)
			}
			content, err := io.ReadAll(answer.Body)
			answer.Body.Close()
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, string(content))
		}
	}
	return texts
}

// TestLatencyIsReportedPerWorkspace checks that the admin pages have the latency percentiles of each workspace.
func TestLatencyIsReportedPerWorkspace(t *testing.T) {
	for _, workspace := range []string{"kelani", "north"} {
		mustExec(t, connect(t, daemonName(0), workspace), "SELECT 1")
	}
	page := strings.Join(readPages(t), "")
	for _, workspace := range []string{"kelani", "north"} {
		if !strings.Contains(page, `"workspace":"`+workspace+`","group":"`+group+`","decision":"read"`) {
			t.Errorf("found no latency percentiles for reads of workspace %s", workspace)
		}
	}
}
