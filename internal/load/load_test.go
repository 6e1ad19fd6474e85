package load

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"heathershed/internal/catalogue"
	"heathershed/internal/contract"
	"heathershed/internal/settings"
)

// TestExamplesFitProfiles guards against example catalogues and generated
// settings that do not fit the profiles.
func TestExamplesFitProfiles(t *testing.T) {
	for _, p := range []*Profile{Filao(), Teranga()} {
		text, err := os.ReadFile("../../examples/" + p.Name + ".ini")
		if err != nil {
			t.Fatal(err)
		}
		c, err := catalogue.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", p.Name, err)
		}
		for _, r := range p.Routes {
			path := r.Path
			if path[len(path)-1] == '/' {
				path += "7"
			}
			k, ok := c.Match([]byte(r.Method), []byte(path))
			if !ok || k.Name != r.Kind || k.Service != r.Service || k.Class != r.Class || k.IsOrder() != r.IsOrder() || k.MaxAnswer < r.AnswerBytes {
				t.Errorf("%s: route %+v does not fit kind %+v", p.Name, r, k)
			}
		}
		l := NewLayout(p, 30000)
		for _, vm := range l.VMs {
			if _, err := settings.Parse(vm.Name, []byte(l.Settings(vm, Policy{"adaptive", "chain"}))); err != nil {
				t.Error(err)
			}
		}
	}
}

func TestParseTriggers(t *testing.T) {
	l := NewLayout(Filao(), 30000)
	for text, want := range map[string]string{
		"slow:sightbank@8s+8s":                   "slow:sightbank:20@8s+8s",
		"slow:sightbank:3@1s+2s,surge:4@2s+1s":   "slow:sightbank:3@1s+2s surge:4@2s+1s",
		" store@1s+1m , kill:spanbook-1@1s+1s ":  "store@1s+1m0s kill:spanbook-1@1s+1s",
		"cut:ebene@1s+1s,lie:crewmap:full@1s+1s": "cut:ebene@1s+1s lie:crewmap:full@1s+1s",
		"":                                       "",
		"slow@1s+1s":                             "error",
		"slow:nowhere@1s+1s":                     "error",
		"kill:spanbook-9@1s+1s":                  "error",
		"cut:paris@1s+1s":                        "error",
		"flood:sightbank@1s+1s":                  "error",
		"slow:sightbank@1s":                      "error",
		"slow:sightbank:3@1+2":                   "error",
		"slow:sightbank:x@1s+1s":                 "error",
		"surge:-1@1s+1s":                         "error",
		"lie:sightbank:up@1s+1s":                 "error",
		"truncate:sightbank:101@1s+1s":           "error",
	} {
		list, err := ParseTriggers(text, l)
		var got []string
		for _, tr := range list {
			got = append(got, tr.String())
		}
		if result := strings.Join(got, " "); (err != nil) != (want == "error") || err == nil && result != want {
			t.Errorf("%q: got %q, %v; want %q", text, result, err, want)
		}
	}
}

func TestCheckBodyRejectsCutAndForeignBodies(t *testing.T) {
	body := answerBody("7", "route", 100)
	if !checkBody(body, "7", "route") || checkBody(body, "8", "route") || checkBody(body, "7", "sightings") {
		t.Error("want a complete body accepted and one of another call or kind rejected")
	}
	for cut := range body {
		if checkBody(body[:cut], "7", "route") {
			t.Errorf("body cut to %d bytes was accepted", cut)
		}
	}
}

// TestLedgerCompare checks which broken promises Compare finds for one order.
func TestLedgerCompare(t *testing.T) {
	withVerdict := func(v contract.Verdict) answer { return answer{hasVerdict: true, verdict: v, status: 503} }
	for name, tc := range map[string]struct {
		runs  int // runs of the order, by call 1
		a     answer
		ends  []orderOutcome
		want  Promises
		holds bool
	}{
		"answered":                    {1, answer{complete: true}, []orderOutcome{{OutcomeComplete, 1}}, Promises{Orders: 1, OrdersAnswered: 1}, true},
		"not run":                     {0, withVerdict(contract.NotRun), []orderOutcome{{OutcomeNotRun, 1}}, Promises{Orders: 1, OrdersNotRun: 1}, true},
		"may have run":                {1, withVerdict(contract.MayHaveRun), []orderOutcome{{OutcomeMayHaveRun, 1}}, Promises{Orders: 1, OrdersMayHaveRun: 1}, true},
		"failed":                      {1, withVerdict(contract.Ran), []orderOutcome{{OutcomeFailed, 1}}, Promises{Orders: 1, OrdersFailed: 1}, true},
		"one node died":               {1, answer{}, []orderOutcome{{OutcomeNoVerdict, 1}}, Promises{Orders: 1, OrdersNoVerdict: 1}, true},
		"no verdict from two nodes":   {1, answer{}, []orderOutcome{{OutcomeNoVerdict, 2}}, Promises{Orders: 1, OrdersNoVerdict: 1, OrdersLost: 1}, false},
		"answered, never ran":         {0, answer{complete: true}, []orderOutcome{{OutcomeComplete, 1}}, Promises{Orders: 1, OrdersAnswered: 1, OrdersLost: 1}, false},
		"doubled":                     {2, answer{complete: true}, []orderOutcome{{OutcomeComplete, 1}}, Promises{Orders: 1, OrdersAnswered: 1, OrdersDoubled: 1}, false},
		"false not run":               {1, withVerdict(contract.NotRun), []orderOutcome{{OutcomeNotRun, 1}}, Promises{Orders: 1, OrdersNotRun: 1, FalseNotRun: 2}, false},
		"partial":                     {1, answer{partial: true}, []orderOutcome{{OutcomeComplete, 1}}, Promises{Orders: 1, OrdersAnswered: 1, PartialAnswers: 1}, false},
		"duplicates, one answered":    {1, answer{}, []orderOutcome{{OutcomeComplete, 1}, {OutcomeNotRun, 1}}, Promises{Orders: 1, OrdersAnswered: 1}, true},
		"duplicates, one not run":     {1, answer{}, []orderOutcome{{OutcomeNoVerdict, 1}, {OutcomeNotRun, 1}}, Promises{Orders: 1, OrdersMayHaveRun: 1}, true},
		"duplicates, no verdict":      {1, answer{}, []orderOutcome{{OutcomeNoVerdict, 1}, {OutcomeNoVerdict, 1}}, Promises{Orders: 1, OrdersNoVerdict: 1, OrdersLost: 1}, false},
		"duplicates, both not run":    {0, answer{}, []orderOutcome{{OutcomeNotRun, 1}, {OutcomeNotRun, 1}}, Promises{Orders: 1, OrdersNotRun: 1}, true},
		"duplicates, second answered": {1, answer{}, []orderOutcome{{OutcomeNotRun, 1}, {OutcomeComplete, 1}}, Promises{Orders: 1, OrdersAnswered: 1}, true},
	} {
		order, err := contract.NewOrderID()
		if err != nil {
			t.Fatal(err)
		}
		log, ledger := NewRunLog(), NewLedger()
		for range tc.runs {
			log.RecordRun(1, 0, order)
		}
		log.RecordRun(1, 1, contract.OrderID{}) // a nested call is not a run of the call itself
		ledger.RecordAttempt(1, tc.a)
		for _, e := range tc.ends {
			ledger.RecordOrder(order, e)
		}
		got := ledger.Compare(log)
		got.Examples = nil
		if got.Kept() != tc.holds || got.Orders != tc.want.Orders || got.summary() != tc.want.summary() {
			t.Errorf("%s: got %+v, want %+v", name, got, tc.want)
		}
	}
}

// summary returns the counts that the test compares.
func (p Promises) summary() [9]int {
	return [9]int{p.OrdersAnswered, p.OrdersNotRun, p.OrdersFailed, p.OrdersMayHaveRun, p.OrdersNoVerdict,
		p.OrdersDoubled, p.OrdersLost, p.PartialAnswers, p.FalseNotRun}
}

// TestRecovery sends 10 requests in each bucket. Of those that arrive from 5 s
// until degradedUntil only some get a complete answer.
func TestRecovery(t *testing.T) {
	start := time.Unix(0, 0)
	for _, tc := range []struct {
		degradedUntil time.Duration // end of the degradation
		complete      int           // complete answers of 10 meanwhile
		want          float64
	}{
		{6 * time.Second, 0, 0},
		{6 * time.Second, 10, 0},
		{8 * time.Second, 0, 2},
		{8 * time.Second, 9, 1.5}, // half a window at 90% gives 95% for the whole window
		{12 * time.Second, 0, -1},
	} {
		m := NewMeter(start)
		for at := time.Duration(0); at < 10*time.Second; at += bucketSize {
			complete := 10
			if at >= 5*time.Second && at < tc.degradedUntil {
				complete = tc.complete
			}
			for i := range 10 {
				m.RecordArrival(start.Add(at), contract.ClassOrder)
				end := OutcomeNotRun
				if i < complete {
					end = OutcomeComplete
				}
				m.RecordOutcome(start.Add(at), start.Add(at+time.Millisecond), contract.ClassOrder, end, contract.ReasonNone)
			}
		}
		r := measureRecovery("t", m.snapshot(), 5*time.Second, 6*time.Second, 10*time.Second)
		if r.Seconds != tc.want || r.Before != 1 || r.GoodputBefore != 100 || r.OrdersDuring != float64(tc.complete)/10 {
			t.Errorf("degraded until %v: got %+v, want %v seconds", tc.degradedUntil, r, tc.want)
		}
	}
}

// TestUpstreamFaults checks how each fault of an upstream looks to a client
// that calls it directly.
func TestUpstreamFaults(t *testing.T) {
	ping, _ := Filao().Route(Filao().Probe)
	for name, tc := range map[string]struct {
		faults  UpstreamFaults
		timeout time.Duration
		prepare func(u *Upstream, send func() answer)
		want    Outcome
		runs    int
	}{
		"whole":     {timeout: time.Second, want: OutcomeComplete, runs: 1},
		"truncated": {faults: UpstreamFaults{Truncate: 1}, timeout: time.Second, want: OutcomeNoVerdict, runs: 1},
		"full": {faults: UpstreamFaults{RefuseFull: true}, timeout: time.Second, want: OutcomeNotRun,
			prepare: func(u *Upstream, _ func() answer) { u.slots <- struct{}{} }},
		"full until the deadline": {timeout: 10 * time.Millisecond, want: OutcomeNotRun,
			prepare: func(u *Upstream, _ func() answer) { u.slots <- struct{}{} }},
		"silent": {timeout: 10 * time.Millisecond, want: OutcomeNoVerdict, runs: 1,
			prepare: func(u *Upstream, send func() answer) { send(); u.BlackholeConns() }},
		"closes a reused connection": {faults: UpstreamFaults{CloseIdle: 1}, timeout: time.Second, want: OutcomeNoVerdict, runs: 1,
			prepare: func(_ *Upstream, send func() answer) { send() }},
		"stopped": {timeout: time.Second, want: OutcomeNoVerdict, runs: 1,
			prepare: func(u *Upstream, send func() answer) { send(); u.Stop() }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			log := NewRunLog()
			vm := VM{Name: "v", Service: ping.Service, Slots: 1}
			u := newUpstream(vm, Filao(), log, newClient(), func(string) string { return "" }, newRand(1), 0)
			go func() { _ = u.serve(t.Context(), l) }()
			t.Cleanup(u.Stop)
			c := newClient()
			send := func() answer {
				return c.roundTrip(l.Addr().String(), request{route: ping, call: 1, timeout: tc.timeout})
			}
			if tc.prepare != nil {
				tc.prepare(u, send)
			}
			u.SetFaults(tc.faults)
			if a := send(); outcomeOf(a) != tc.want {
				t.Errorf("got %s (%+v), want %s", outcomeNames[outcomeOf(a)], a, outcomeNames[tc.want])
			}
			if got := log.RunsOf(1); got != tc.runs {
				t.Errorf("got %d runs, want %d", got, tc.runs)
			}
			if name == "silent" || tc.faults.CloseIdle > 0 { // new connections work
				if a := newClient().roundTrip(l.Addr().String(), request{route: ping, call: 2, timeout: time.Minute}); !a.complete {
					t.Errorf("on a new connection: got %+v, want a complete answer", a)
				}
			}
		})
	}
}
