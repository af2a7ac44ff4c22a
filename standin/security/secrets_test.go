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

// Secrets that the test uses, and that must appear nowhere.
const (
	wrongPassword = "swordfish-password"
	parameterText = "swordfish-parameter"
	literalText   = "swordfish-literal"
	settingText   = "swordfish-setting"
	operationKey  = "swordfish-key"
)

// verifierPart is a part of the verifier of crew in the example workspace.
const verifierPart = "qi5DCIKXZahqhPiF4PcGcs"

// TestNoSecretInLogsAndPages looks for passwords, verifiers, statement parameters and literals in
// logs at level debug, pages and errors.
func TestNoSecretInLogsAndPages(t *testing.T) {
	var texts []string
	_, err := dial(t, daemon(0), "kelani", group, "crew", wrongPassword)
	if err == nil {
		t.Fatal("a wrong password was admitted")
	}
	texts = append(texts, err.Error())
	conn := connect(t, daemon(0), "kelani")
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
				t.Errorf("%s appears: %s", secret, text[max(0, i-200):min(len(text), i+100)])
			}
		}
	}
}

// readLogs returns the logs of the daemons.
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
		t.Error("no log has a line of level debug")
	}
	return texts
}

// readPages returns the pages of the admin ports.
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

// TestLatencyNamesEachWorkspace reads the percentiles that operators see.
func TestLatencyNamesEachWorkspace(t *testing.T) {
	for _, workspace := range []string{"kelani", "north"} {
		mustExec(t, connect(t, daemon(0), workspace), "SELECT 1")
	}
	page := strings.Join(readPages(t), "")
	for _, workspace := range []string{"kelani", "north"} {
		if !strings.Contains(page, `"workspace":"`+workspace+`","group":"`+group+`","decision":"read"`) {
			t.Errorf("no percentiles of reads of %s", workspace)
		}
	}
}
