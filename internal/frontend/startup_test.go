package frontend

import (
	"encoding/binary"
	"slices"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/credential"
	"github.com/papayacove/papayacove/internal/result"
)

// TestUnknownUserIsIndistinguishableFromWrongPassword guards against a difference by which a caller
// could find out which users exist. It compares everything that the exchange with an unknown user and
// the one with a wrong password reveal.
func TestUnknownUserIsIndistinguishableFromWrongPassword(t *testing.T) {
	server := startServer(t, newFakeRunner(), withPassword(t))
	var seen []string
	for _, user := range []string{"crew", "nobody"} {
		c := dialRaw(t, server)
		c.startUp(map[string]string{"user": user})
		texts := []string{describeSASL(c.receive())}
		c.send(&pgproto3.SASLInitialResponse{AuthMechanism: credential.Mechanism, Data: []byte("n,,n=,r=abc")})
		challenge, ok := c.receive().(*pgproto3.AuthenticationSASLContinue)
		if !ok {
			t.Fatalf("user %s: the answer is not AuthenticationSASLContinue", user)
		}
		fields := strings.Split(string(challenge.Data), ",")
		texts = append(texts, fields[2], string(rune('0'+len(fields[1])%10)))
		proof := "c=biws," + fields[0] + ",p=" + strings.Repeat("A", 43) + "="
		c.send(&pgproto3.SASLResponse{Data: []byte(proof)})
		texts = append(texts, describe(c.receive()))
		seen = append(seen, strings.Join(texts, " "))
	}
	if seen[0] != seen[1] || !strings.HasSuffix(seen[0], "error:28P01") {
		t.Errorf("exchanges = %q, want equal ones that end in error:28P01", seen)
	}
}

func describeSASL(message pgproto3.BackendMessage) string {
	if m, ok := message.(*pgproto3.AuthenticationSASL); ok {
		return strings.Join(m.AuthMechanisms, ",")
	}
	return describe(message)
}

func TestStartupRefusals(t *testing.T) {
	server := startServer(t, newFakeRunner(), nil)
	for name, test := range map[string]struct {
		parameters map[string]string
		want       string
	}{
		"no group":          {map[string]string{"database": "kelani"}, "error:3D000"},
		"unknown workspace": {map[string]string{"database": "other.rounds"}, "error:3D000"},
		"unknown group":     {map[string]string{"database": "kelani/other"}, "error:3D000"},
		"no user":           {map[string]string{"user": ""}, "error:28P01"},
		"replication":       {map[string]string{"replication": "database"}, "error:0A000"},
		"encoding":          {map[string]string{"client_encoding": "LATIN1"}, "error:0A000"},
		"option":            {map[string]string{"options": "-c synchronous_commit=off"}, "error:0A000"},
	} {
		c := dialRaw(t, server)
		c.startUp(test.parameters)
		if got := describe(c.receive()); got != test.want {
			t.Errorf("%s: answer = %q, want %q", name, got, test.want)
		}
	}
}

func TestNegotiatesProtocolVersion(t *testing.T) {
	c := dialRaw(t, startServer(t, newFakeRunner(), nil))
	c.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion32, Parameters: map[string]string{
		"user": "crew", "database": "kelani/rounds", "_pq_.b": "1", "_pq_.a": "1",
	}})
	answer, ok := c.receive().(*pgproto3.NegotiateProtocolVersion)
	if !ok || answer.NewestMinorProtocol != pgproto3.ProtocolVersion30 || !slices.Equal(answer.UnrecognizedOptions, []string{"_pq_.a", "_pq_.b"}) {
		t.Errorf("answer = %+v, want protocol 3.0 and the options _pq_.a and _pq_.b", answer)
	}
	if got := c.answers(); !strings.HasSuffix(got, "ready:I") {
		t.Errorf("answers = %q, want them to end in ready:I", got)
	}
}

func FuzzStartup(f *testing.F) {
	f.Add(uint32(pgproto3.ProtocolVersion30), []byte("user\x00crew\x00database\x00kelani.rounds\x00\x00"))
	f.Add(uint32(pgproto3.ProtocolVersion32), []byte("user\x00crew\x00_pq_.a\x001\x00\x00"))
	f.Add(uint32(pgproto3.ProtocolVersion30), []byte("user\x00crew\x00options\x00-c a\\ b=1 --c --d=\x00\x00"))
	f.Add(uint32(2<<16), []byte{0})
	f.Add(uint32(sslRequestCode), []byte{})
	f.Fuzz(func(t *testing.T, code uint32, body []byte) {
		packet := binary.BigEndian.AppendUint32(nil, uint32(len(body)+lengthBytes+codeBytes))
		packet = binary.BigEndian.AppendUint32(packet, code)
		packet = append(packet, body...)
		gotCode, gotBody, err := readStartupPacket(strings.NewReader(string(packet)))
		if err != nil {
			return
		}
		request, err := parseStartup(gotCode, gotBody)
		if err != nil {
			if result.CodeOf(err) == result.Internal {
				t.Fatalf("parseStartup: error = %v, want one that is not internal", err)
			}
			return
		}
		if request.user == "" || request.workspace == "" || request.group == "" {
			t.Fatalf("request = %+v, want user, workspace and group", request)
		}
		var settings sessionSettings
		_ = settings.applyStartup(request.parameters)
	})
}

// FuzzMessages sends arbitrary bytes to a session and expects that the server still serves another session.
func FuzzMessages(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) []byte {
		var out []byte
		for _, m := range messages {
			out, _ = m.Encode(out)
		}
		return out
	}
	f.Add(encode(&pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(parse("a", "BEGIN"), bind("a"), execute(), &pgproto3.Flush{}, closeStatement("a"), syncAll()))
	f.Add(encode(parse("", "SET jit = off"), bind(""), describeStatement(""), execute(), syncAll(), &pgproto3.Query{String: "RESET ALL"}))
	f.Add(encode(&pgproto3.CopyData{Data: []byte("a")}, &pgproto3.FunctionCall{}, &pgproto3.Terminate{}))
	f.Add([]byte("Q\x00\x00\x00\x03"))
	f.Add([]byte("B\x00\x00\x00\x08\x00\x00\xff\xff"))
	server := startServer(f, newFakeRunner(), func(o *Options) { o.Limits.MaxMessageBytes = 1 << 16 })
	f.Fuzz(func(t *testing.T, input []byte) {
		c := dial(t, server, nil)
		// The server may have ended the session before all bytes were sent.
		_, _ = c.conn.Write(input)
		c.conn.Close()
		other := dial(t, server, nil)
		if got := other.query("SELECT 1"); got != "columns row:row done:SELECT ready:I" {
			t.Fatalf("answers of another session = %q, want one row", got)
		}
	})
}
