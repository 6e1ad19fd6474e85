package homes

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	linkpb "heathershed/api/link"
	"heathershed/internal/platform"
)

// largeDocument returns the document of 600 VMs in 89 services after a number
// of restarts.
func largeDocument(restarts int) *Document {
	view := map[string][]Home{}
	for vm := range 600 {
		name := fmt.Sprintf("service-%02d", vm%89)
		view[name] = append(view[name], Home{fmt.Sprintf("vm-%03d", vm), uint64(epoch.UnixMilli())})
	}
	d, _ := Editor{}.Edit(epoch, nil, view)
	for i := range restarts {
		at := epoch.Add(time.Duration(i) * time.Second)
		members := view[fmt.Sprintf("service-%02d", i%89)]
		members[i%len(members)].Incarnation = uint64(at.UnixMilli()) + 1
		d, _ = Editor{}.Edit(at, d, view)
	}
	return d
}

// TestDocumentFitsIntoStoreValue guards against a document that outgrows a
// value of the store: first with the restarts of a day within one horizon,
// then with far more changes than MaxLists.
func TestDocumentFitsIntoStoreValue(t *testing.T) {
	for _, restarts := range []int{0, 82, 164, 590} {
		value, err := largeDocument(restarts).Encode()
		if err != nil || len(value) > platform.MaxValue {
			t.Errorf("%d restarts: got %d bytes, error %v", restarts, len(value), err)
		}
		t.Logf("%d restarts within the horizon: %d bytes", restarts, len(value))
	}
	d := buildDocument(live("a1"))
	for i := range 5 * MaxLists {
		d, _ = Editor{}.Edit(epoch.Add(time.Duration(i)*time.Second), d, live(fmt.Sprintf("a%d", 1+i%2)))
	}
	if n := len(d.Services[service]); n > MaxLists {
		t.Errorf("got %d lists, want at most MaxLists", n)
	}
}

func BenchmarkHome(b *testing.B) {
	d := largeDocument(82)
	id := idAt(epoch.Add(time.Minute), 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.Home("service-07", id); !ok {
			b.Fatal("no home for the id")
		}
	}
}

func BenchmarkEditUnchanged(b *testing.B) {
	d := largeDocument(82)
	view := map[string][]Home{}
	for name, lists := range d.Services {
		view[name] = lists[len(lists)-1].Members
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Editor{}.Edit(epoch, d, view)
	}
}

func BenchmarkEncode(b *testing.B) {
	d := largeDocument(82)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = d.Encode()
	}
}

func BenchmarkDecode(b *testing.B) {
	value, _ := largeDocument(82).Encode()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = Decode(value)
	}
}

// BenchmarkConfirmation also reports the sizes of the messages on the wire.
func BenchmarkConfirmation(b *testing.B) {
	w := Witness{}
	w.ObserveVersion(100_000)
	size := func(v *linkpb.Vouch) float64 { return float64(proto.Size(&linkpb.ControlFrame{Vouch: v})) }
	for b.Loop() {
		w.Answer(epoch, w.Ask(epoch))
	}
	b.ReportMetric(size(w.Ask(epoch)), "B/question")
	b.ReportMetric(size(w.Answer(epoch, w.Ask(epoch))), "B/answer")
}
