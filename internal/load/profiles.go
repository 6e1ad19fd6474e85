package load

import (
	"time"

	"heathershed/internal/contract"
)

const kib = 1024

// Both profiles use a third to a half of their slots under normal load, most at
// the deep service.

// Filao returns a small version of the Filao deployment. A crew request reads
// span records and calls sightings and routes, routes look up nearby sightings,
// and a cut order checks its route.
func Filao() *Profile {
	return &Profile{
		Name:        "filao",
		Region:      "mauritius",
		Datacentres: []string{"ebene", "rose-hill"},
		Pools: []Pool{
			{Service: "spanbook", Targets: 3, Slots: 24},
			{Service: "sightbank", Targets: 3, Slots: 16},
			{Service: "crewmap", Targets: 2, Slots: 24},
			{Service: "cutdesk", Targets: 2, Slots: 16},
		},
		Routes: []Route{
			{Kind: "crew-request", Service: "spanbook", Method: "GET", Path: "/crew/", Class: contract.ClassLookup,
				ServiceTime: 40 * time.Millisecond, AnswerBytes: 8 * kib, NestedCalls: []string{"sightings", "route"}},
			{Kind: "span-history", Service: "spanbook", Method: "GET", Path: "/spans/", Class: contract.ClassLookup,
				ServiceTime: 40 * time.Millisecond, AnswerBytes: 16 * kib},
			{Kind: "sightings", Service: "sightbank", Method: "GET", Path: "/sightings/", Class: contract.ClassLookup,
				ServiceTime: 60 * time.Millisecond, AnswerBytes: 8 * kib},
			{Kind: "sightings-near", Service: "sightbank", Method: "GET", Path: "/near/", Class: contract.ClassLookup,
				ServiceTime: 30 * time.Millisecond, AnswerBytes: kib},
			{Kind: "route", Service: "crewmap", Method: "GET", Path: "/routes/", Class: contract.ClassLookup,
				ServiceTime: 25 * time.Millisecond, AnswerBytes: 2 * kib, NestedCalls: []string{"sightings-near"}},
			{Kind: "track-check", Service: "crewmap", Method: "GET", Path: "/tracks/", Class: contract.ClassCheck,
				ServiceTime: 20 * time.Millisecond, AnswerBytes: 2 * kib},
			{Kind: "route-check", Service: "crewmap", Method: "GET", Path: "/checks/", Class: contract.ClassCheck,
				ServiceTime: 15 * time.Millisecond, AnswerBytes: kib},
			{Kind: "cut-order", Service: "cutdesk", Method: "POST", Path: "/cut-orders", Class: contract.ClassOrder,
				ServiceTime: 40 * time.Millisecond, AnswerBytes: kib, NestedCalls: []string{"route-check"}},
			{Kind: "sight-ping", Service: "sightbank", Method: "GET", Path: "/ping", Class: contract.ClassCheck,
				AnswerBytes: kib},
		},
		Streams: []Stream{
			{Kind: "crew-request", Rate: 220, Timeout: 2 * time.Second, Attempts: 2},
			{Kind: "span-history", Rate: 80, Timeout: 2 * time.Second, Attempts: 2},
			{Kind: "track-check", Rate: 60, Timeout: time.Second, Attempts: 2},
			{Kind: "cut-order", Rate: 40, Timeout: 2 * time.Second, Attempts: 4, DuplicateShare: 0.05},
		},
		DeepService: "sightbank",
		Probe:       "sight-ping",
	}
}

// Teranga returns a small version of the Teranga deployment. Lookups of proofs
// wait for a short time and call the ledger and the disputes; confirmations
// neither wait nor retry.
func Teranga() *Profile {
	return &Profile{
		Name:        "teranga",
		Region:      "dakar",
		Datacentres: []string{"plateau", "almadies"},
		Pools: []Pool{
			{Service: "lookup-portal", Targets: 3, Slots: 32},
			{Service: "confirm-desk", Targets: 2, Slots: 24},
			{Service: "branch-ledger", Targets: 3, Slots: 16},
			{Service: "dispute-desk", Targets: 2, Slots: 16},
		},
		Routes: []Route{
			{Kind: "proof-lookup", Service: "lookup-portal", Method: "GET", Path: "/proofs/", Class: contract.ClassLookup,
				ServiceTime: 40 * time.Millisecond, AnswerBytes: 32 * kib, NestedCalls: []string{"ledger-entry", "dispute-state"}},
			{Kind: "branch-check", Service: "lookup-portal", Method: "GET", Path: "/branches/", Class: contract.ClassCheck,
				ServiceTime: 30 * time.Millisecond, AnswerBytes: 4 * kib, NestedCalls: []string{"ledger-entry"}},
			{Kind: "confirmation", Service: "confirm-desk", Method: "POST", Path: "/confirmations", Class: contract.ClassOrder,
				ServiceTime: 40 * time.Millisecond, AnswerBytes: kib, NestedCalls: []string{"ledger-check", "dispute-state"}},
			{Kind: "ledger-entry", Service: "branch-ledger", Method: "GET", Path: "/entries/", Class: contract.ClassLookup,
				ServiceTime: 40 * time.Millisecond, AnswerBytes: 4 * kib},
			{Kind: "ledger-check", Service: "branch-ledger", Method: "GET", Path: "/checks/", Class: contract.ClassCheck,
				ServiceTime: 20 * time.Millisecond, AnswerBytes: kib},
			{Kind: "dispute-state", Service: "dispute-desk", Method: "GET", Path: "/disputes/", Class: contract.ClassLookup,
				ServiceTime: 30 * time.Millisecond, AnswerBytes: 2 * kib},
			{Kind: "ledger-ping", Service: "branch-ledger", Method: "GET", Path: "/ping", Class: contract.ClassCheck,
				AnswerBytes: kib},
		},
		Streams: []Stream{
			{Kind: "proof-lookup", Rate: 250, Timeout: 3 * time.Second, Attempts: 3},
			{Kind: "branch-check", Rate: 60, Timeout: time.Second, Attempts: 1},
			{Kind: "confirmation", Rate: 60, Timeout: time.Second, Attempts: 1},
		},
		DeepService: "branch-ledger",
		Probe:       "ledger-ping",
	}
}
