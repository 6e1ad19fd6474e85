package catalogue

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/google/uuid"
)

// largeCatalogue returns a catalogue of five kinds for each of 89 services.
func largeCatalogue(b *testing.B) *Catalogue {
	text := ""
	for i := range 89 * 5 {
		text += fmt.Sprintf("# Kind %d of its service.\n", i%5) +
			entryText(fmt.Sprintf("service-%02d-kind-%d", i/5, i%5), fmt.Sprintf("service=service-%02d", i/5),
				fmt.Sprintf("path=/service-%02d/kind-%d/*", i/5, i%5), fmt.Sprintf("rate=%d", i*7))
	}
	c, err := Parse([]byte(text))
	if err != nil {
		b.Fatal(err)
	}
	return c
}

// BenchmarkOffer measures the cost of one new version at a node for a catalogue
// of the design size, with histories up to the maximum, and reports the sizes of
// the document and its text.
func BenchmarkOffer(b *testing.B) {
	for _, history := range []int{0, 32, MaxChanges} {
		b.Run(fmt.Sprintf("changes=%d", history), func(b *testing.B) {
			c := largeCatalogue(b)
			r := rand.New(rand.NewSource(1))
			d := &Document{Change: Change{Version: 1}, Text: string(c.Text())}
			for i := range history {
				e := c.Entries()[r.Intn(len(c.Entries()))]
				d = d.next(Change{Version: uint64(i + 2), EditID: uuid.NewString(), Sum: fmt.Sprintf("%x", r.Int63()),
					Author: "operator", Note: "a note of usual length", Entries: []EntryChange{{e.Kind.Name, e.String()}}}, c.Text())
			}
			value, err := d.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if adopted, err := NewHolder().Offer(0, value); !adopted {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(value)), "B/document")
			b.ReportMetric(float64(len(c.Text())), "B/text")
		})
	}
}

// BenchmarkCheckOrders measures the check for repeated orders for an edit of a
// catalogue of the design size, with 1, 10 and all retained changes within
// OrderWindow.
func BenchmarkCheckOrders(b *testing.B) {
	for _, recent := range []int{1, 10, MaxChanges} {
		b.Run(fmt.Sprintf("recent=%d", recent), func(b *testing.B) {
			c, now := largeCatalogue(b), time.Unix(0, 0).Add(24*time.Hour)
			d := &Document{Change: Change{Version: 1}, Text: string(c.Text())}
			for i := range MaxChanges - 1 {
				e := c.Entries()[i]
				change := Change{Version: uint64(i + 2), Entries: []EntryChange{{e.Kind.Name, e.String()}}}
				if i+1 >= MaxChanges-recent {
					change.Time = now
				}
				d = d.next(change, c.Text())
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := checkOrders(d, c, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
