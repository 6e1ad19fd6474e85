package homes

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"heathershed/internal/platform"
)

// Errors returned by Decode and Encode.
var (
	// ErrUnreadable means that the value is not a valid homes document.
	ErrUnreadable = errors.New("homes: unreadable document")
	// ErrTooLarge means that the encoded document exceeds the size limit of
	// the store.
	ErrTooLarge = errors.New("homes: document too large")
)

// jsonDocument is the JSON form of a Document. Lists refer to homes by their
// index in Homes.
type jsonDocument struct {
	Version   uint64        `json:"version"`
	Confirmed int64         `json:"confirmed_unix_ms"`
	Homes     []jsonHome    `json:"homes"`
	Services  []jsonService `json:"services"`
}

type jsonHome struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
}

type jsonService struct {
	Name      string     `json:"name"`
	Lists     []jsonList `json:"lists"`
	Witnesses []int      `json:"witnesses"`
}

type jsonList struct {
	From    int64 `json:"from_unix_ms"`
	Members []int `json:"members"`
}

// Encode returns the JSON form of the document. Equal documents give equal
// bytes. Encode returns ErrTooLarge if the result exceeds platform.MaxValue.
func (d *Document) Encode() ([]byte, error) {
	w := jsonDocument{Version: d.Version, Confirmed: d.Confirmed.UnixMilli()}
	index := map[Home]int{}
	indexesOf := func(set []Home) []int {
		indexes := make([]int, len(set))
		for i, h := range set {
			at, known := index[h]
			if !known {
				at = len(w.Homes)
				index[h] = at
				w.Homes = append(w.Homes, jsonHome(h))
			}
			indexes[i] = at
		}
		return indexes
	}
	for _, name := range serviceNames(d.Services) {
		s := jsonService{Name: name, Witnesses: indexesOf(d.Witnesses[name])}
		for _, l := range d.Services[name] {
			s.Lists = append(s.Lists, jsonList{From: l.From.UnixMilli(), Members: indexesOf(l.Members)})
		}
		w.Services = append(w.Services, s)
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, "homes: encode")
	}
	if len(value) > platform.MaxValue {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(value))
	}
	return value, nil
}

// Decode parses the output of Encode. Every error is an ErrUnreadable.
func Decode(value []byte) (*Document, error) {
	var w jsonDocument
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "homes: decode"), ErrUnreadable)
	}
	if w.Version == 0 {
		return nil, errors.Wrap(ErrUnreadable, "version 0")
	}
	d := &Document{
		Version:   w.Version,
		Confirmed: time.UnixMilli(w.Confirmed),
		Services:  make(map[string][]List, len(w.Services)),
		Witnesses: make(map[string][]Home, len(w.Services)),
	}
	for _, s := range w.Services {
		if err := d.decodeService(&w, s); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Document) decodeService(w *jsonDocument, s jsonService) error {
	if _, duplicate := d.Services[s.Name]; duplicate || s.Name == "" || len(s.Lists) == 0 {
		return errors.Wrapf(ErrUnreadable, "service %q: named twice or without lists", s.Name)
	}
	lists := make([]List, 0, len(s.Lists))
	for i, l := range s.Lists {
		if i > 0 && l.From <= s.Lists[i-1].From {
			return errors.Wrapf(ErrUnreadable, "service %q: lists out of order", s.Name)
		}
		members, err := w.resolve(s.Name, l.Members)
		if err != nil {
			return err
		}
		lists = append(lists, List{From: time.UnixMilli(l.From), Members: members})
	}
	witnesses, err := w.resolve(s.Name, s.Witnesses)
	if err != nil {
		return err
	}
	d.Services[s.Name] = lists
	d.Witnesses[s.Name] = witnesses
	return nil
}

// resolve converts indexes to homes. It returns an error if an index is out of
// range or a VM occurs twice.
func (w *jsonDocument) resolve(service string, indexes []int) ([]Home, error) {
	set := make([]Home, 0, len(indexes))
	seen := make(map[string]bool, len(indexes))
	for _, at := range indexes {
		if at < 0 || at >= len(w.Homes) {
			return nil, errors.Wrapf(ErrUnreadable, "service %q: no home %d", service, at)
		}
		h := Home(w.Homes[at])
		if h.VM == "" || seen[h.VM] {
			return nil, errors.Wrapf(ErrUnreadable, "service %q: VM %q empty or twice in a list", service, h.VM)
		}
		seen[h.VM] = true
		set = append(set, h)
	}
	return set, nil
}

// serviceNames returns the keys in ascending order.
func serviceNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
