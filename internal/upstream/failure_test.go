package upstream

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"heathershed/internal/contract"
)

func TestFailureDoesNotQuoteTheUpstream(t *testing.T) {
	const secret = "of-another-caller"
	for _, reply := range []string{
		secret,
		"HTTP/1.1 " + secret + "\r\n\r\n",
		okLine + secret + "\r\n\r\n",
		okLine + "X: " + secret,
		okLine + "Content-Length: " + secret + "\r\n\r\n",
		chunks + secret + "\r\n",
		chunks + "2 " + secret + "\r\n",
		chunks + "2\r\nhi" + secret,
		chunks + "0\r\n" + secret + "\r\n\r\n",
		strings.Repeat(secret, 10000),
	} {
		var answer fasthttp.Response
		out := New(serve(t, script{reply: reply}), 4, 1<<20).Do(t.Context(), get(true), &answer)
		if out.Verdict != contract.MayHaveRun || strings.Contains(out.Detail, secret[:6]) {
			t.Errorf("%.60q: got outcome %+v, want may-have-run without bytes of the upstream", reply, out)
		}
	}
}
