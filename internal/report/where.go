package report

import "time"

// PathWhere, at the metrics address of a node beside an upstream, responds with a Where. The
// query parameters are host, path (with its query) and, optionally, attempt; a key is given
// as clients give it.
const PathWhere = "/where"

// Where says how a node would route a client's request if it arrived now. Nothing is sent.
type Where struct {
	VM  string    `json:"vm"`
	Now time.Time `json:"now"`
	// Version is that of the active configuration, 0 for none; Confirmed says how old the
	// knowledge is that it is the newest.
	Version   int    `json:"version"`
	Confirmed string `json:"confirmed"`
	Host      string `json:"host"`
	Path      string `json:"path"`
	// Outcome is "sent", or the status that the client would get at once; Reason says why.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Route is empty if none matches.
	Route      string `json:"route,omitempty"`
	Idempotent bool   `json:"idempotent"`
	// Key is the verdict on the key, Quota that on the limit of the workspace.
	Key       string `json:"key,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Quota     string `json:"quota,omitempty"`
	// LowestLevel and HighestLevel bound the priority level of the request; they are the
	// same if its attempt id is given. Requests below Threshold are rejected.
	LowestLevel  int `json:"lowest_level"`
	HighestLevel int `json:"highest_level"`
	Threshold    int `json:"threshold"`
	// Rejected is the share of such requests that is below the threshold, from 0 to 1.
	Rejected float64 `json:"rejected"`
	// Services are those to which the route sends requests, by weight.
	Services []WhereService `json:"services,omitempty"`
}

// WhereService is a service of a route, and its upstreams in order of preference.
type WhereService struct {
	Service   string          `json:"service"`
	Weight    int             `json:"weight"`
	Upstreams []WhereUpstream `json:"upstreams"`
}

// WhereUpstream is an upstream as it stands for the request.
type WhereUpstream struct {
	VM         string `json:"vm"`
	Datacentre string `json:"datacentre"`
	Instance   string `json:"instance"`
	Slots      int    `json:"slots"`
	// Outstanding is the number of requests that the node has there.
	Outstanding int `json:"outstanding"`
	// Cost ranks the upstreams that can take requests: the expected latency in seconds
	// times the factors for load and doubt, or, if Full, a measure of load and doubt.
	Cost       float64 `json:"cost"`
	Full       bool    `json:"full"`
	ExpectedMs float64 `json:"expected_ms"`
	// Standing says whether it would be chosen and why.
	Standing string `json:"standing"`
}
