package credential

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestMakeAgreesWithPostgreSQL(t *testing.T) {
	// The example of RFC 7677: user "user", password "pencil".
	salt, err := decode("W22ZaJ0SNY7soEsUEjb6gQ==")
	if err != nil {
		t.Fatal(err)
	}
	got, err := Make("pencil", DefaultIterations, salt)
	if err != nil {
		t.Fatal(err)
	}
	const want = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$" +
		"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="
	if got != want {
		t.Errorf("Make = %s, want %s", got, want)
	}
}

func TestParseAndFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		password := rapid.StringMatching(`[a-zA-Z0-9 ]{1,20}`).Draw(t, "password")
		salt := rapid.SliceOfN(rapid.Byte(), 1, 32).Draw(t, "salt")
		verifier, err := Make(password, DefaultIterations, salt)
		if err != nil {
			t.Fatal(err)
		}
		stored, err := Parse(verifier)
		if err != nil {
			t.Fatal(err)
		}
		if Format(stored) != verifier {
			t.Errorf("Format(Parse(%s)) = %s, want the same verifier", verifier, Format(stored))
		}
	})
}

func TestParseRefusesMalformedVerifiers(t *testing.T) {
	for _, verifier := range []string{
		"",
		"md5abc",
		"SCRAM-SHA-256$4096:$a:b",
		"SCRAM-SHA-256$12:c2FsdA==$a:b",
		"SCRAM-SHA-256$4096:c2FsdA==$YQ==:YQ==",
		"SCRAM-SHA-256$4096:c2FsdA==",
	} {
		if _, err := Parse(verifier); !errors.Is(err, ErrMalformed) {
			t.Errorf("Parse(%q) = %v, want ErrMalformed", verifier, err)
		}
	}
}
