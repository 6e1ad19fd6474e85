package settings

import (
	"bytes"
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
