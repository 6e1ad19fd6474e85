package settings

import (
	"bytes"
	"strings"
	"testing"
)

const valid = `
[vm]
name = spanbook-1
datacentre = west
region = mauritius
service = spanbook
[addresses]
front = 127.0.0.1:7001
link = 127.0.0.1:7002
admin = 127.0.0.1:7003
[upstream]
address = 127.0.0.1:7004
slots = 30
[calls]
services = sightbank, crewmap
`

func TestErrorsNameFileSectionAndKey(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "slots = 30", "slots = 30\nslotz = 4", "node.ini: [upstream] slotz: unknown key"},
		{"unknown section", "[calls]", "[cals]", "node.ini: [cals]: unknown section"},
		{"missing", "name = spanbook-1", "", "node.ini: [vm] name: missing"},
		{"out of range", "slots = 30", "slots = 0", "want a whole number from 1 to 100000"},
		{"wrong unit", "slots = 30", "slots = 30\nhealth_every = 5", "want a time with its unit"},
		{"host name", "front = 127.0.0.1:7001", "front = localhost:7001", `[addresses] front = "localhost:7001": want an IP number`},
		{"bad name", "service = spanbook", "service = Span Book", "[vm] service"},
		{"bad list", "services = sightbank, crewmap", "services = sightbank, Crew Map", "[calls] services"},
		{"two problems", "slots = 30", "slots = x\nslotz = 4", "node.ini: [upstream] slots = \"x\""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("node.ini", []byte(strings.Replace(valid, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got error %v, want one that contains %q", err, c.want)
			}
		})
	}
}

func TestPrintRoundTrip(t *testing.T) {
	first, err := Parse("node.ini", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	var printed bytes.Buffer
	if err := first.Print(&printed); err != nil {
		t.Fatal(err)
	}
	second, err := Parse("printed", printed.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	if err := second.Print(&again); err != nil {
		t.Fatal(err)
	}
	if printed.String() != again.String() {
		t.Fatalf("settings differ after a round trip:\n%s\n%s", printed.String(), again.String())
	}
	if first.MemoryLimit != 60<<20 || len(first.Calls) != 2 {
		t.Fatalf("got %+v, want the default memory limit of 60 MiB and 2 calls", first)
	}
}
