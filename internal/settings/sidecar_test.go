package settings

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const validSidecar = `
[vm]
name = a-1
datacentre = west
region = r
service = a
[addresses]
clients = 127.0.0.1:7001
link = 127.0.0.1:7002
ready = 127.0.0.1:7003
heartbeats = 127.0.0.1:7004
metrics = 127.0.0.1:7005
[upstream]
address = 127.0.0.1:8080
[platform]
address = 127.0.0.1:7400
`

func TestAnnounceDefaultsToLink(t *testing.T) {
	cases := []struct{ name, line, want, problem string }{
		{"absent", "", "127.0.0.1:7002", ""},
		{"empty", "announce =", "127.0.0.1:7002", ""},
		{"given", "announce = 10.0.0.1:9", "10.0.0.1:9", ""},
		{"host name", "announce = localhost:9", "", `[addresses] announce = "localhost:9": want an IP number`},
	}
	for _, c := range cases {
		text := strings.Replace(validSidecar, "[upstream]", c.line+"\n[upstream]", 1)
		s, err := ParseSidecar("node.ini", []byte(text))
		if c.problem != "" {
			if err == nil || !strings.Contains(err.Error(), c.problem) {
				t.Errorf("%s: got error %v, want one that contains %q", c.name, err, c.problem)
			}
			continue
		}
		if err != nil || s.Announce != c.want || s.Link != "127.0.0.1:7002" {
			t.Errorf("%s: got %+v, error %v", c.name, s, err)
		}
	}
}

func TestPrintSidecarRoundTrip(t *testing.T) {
	first, err := ParseSidecar("node.ini", []byte(validSidecar))
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	if err := first.Print(&printed); err != nil {
		t.Fatal(err)
	}
	second, err := ParseSidecar("printed", printed.Bytes())
	if err != nil || *first != *second {
		t.Fatalf("settings differ after a round trip:\n%+v\n%+v\nerror %v", first, second, err)
	}
}

// TestNodeStartsWhereThePlatformWritesFractions covers each number of the template.
func TestNodeStartsWhereThePlatformWritesFractions(t *testing.T) {
	cases := []struct {
		section, key, text string
		want               string // as printed; empty if the text is invalid
	}{
		{"retries", "slack", "57", "57"},
		{"retries", "slack", "20.4", "20.4"},
		{"retries", "slack", "2.133e1", "21.33"},
		{"retries", "slack", "0", "0"},
		{"retries", "slack", "-1", ""},
		{"retries", "slack", "NaN", ""},
		{"retries", "slack", "1e9", ""},
		{"retries", "slack", "", ""},
		{"retries", "ratio", "2e-1", "0.2"},
		{"retries", "ratio", "0.2", "0.2"},
		{"retries", "ratio", "1.2", ""},
		{"retries", "window", "10s", "10s"},
		{"retries", "window", "2.5s", "2.5s"},
		{"retries", "window", "1e4ms", "10s"},
		{"retries", "window", "1m30s", "1m30s"},
		{"retries", "window", "10", ""},
		{"retries", "window", "s", ""},
		{"retries", "window", "1e400s", ""},
		{"configuration", "apply_within", "2500.5ms", "2.5005s"},
		{"process", "grace", "6.25s", "6.25s"},
		{"process", "grace", "Infs", ""},
		{"process", "memory", "284MiB", "284MiB"},
		{"process", "memory", "184.5MiB", "184.5MiB"},
		{"process", "memory", "2.84e2MiB", "284MiB"},
		{"process", "memory", "NaNMiB", ""},
		{"process", "memory", "284", ""},
	}
	for _, c := range cases {
		line := fmt.Sprintf("[%s]\n%s = %s\n", c.section, c.key, c.text)
		s, err := ParseSidecar("node.ini", []byte(validSidecar+line))
		if c.want == "" {
			if where := fmt.Sprintf("[%s] %s", c.section, c.key); err == nil || !strings.Contains(err.Error(), where) {
				t.Errorf("%s = %q: got error %v, want one that names %s", c.key, c.text, err, where)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s = %q: %v", c.key, c.text, err)
			continue
		}
		var printed bytes.Buffer
		if err := s.Print(&printed); err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("%s = %s\n", c.key, c.want); !strings.Contains(printed.String(), want) {
			t.Errorf("%s = %q: %q is not among the settings:\n%s", c.key, c.text, want, printed.String())
		}
	}
}
