package crashes

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestFingerprintDependsOnContentOnly(t *testing.T) {
	is := is.New(t)
	fp := Fingerprint(http.MethodPost, "desk.example", "/desk/a?b=c", http.Header{"Request-Id": {"1"}}, []byte("body"))
	is.Equal(fp, Fingerprint(http.MethodPost, "desk.example", "/desk/a?b=c", http.Header{"Request-Id": {"2"}}, []byte("body")))
	for _, other := range []string{
		Fingerprint(http.MethodPut, "desk.example", "/desk/a?b=c", nil, []byte("body")),
		Fingerprint(http.MethodPost, "other.example", "/desk/a?b=c", nil, []byte("body")),
		Fingerprint(http.MethodPost, "desk.example", "/desk/a?b=d", nil, []byte("body")), // an equal body on another path
		Fingerprint(http.MethodPost, "desk.example", "/desk/a?b=c", http.Header{"Authorization": {"Bearer x"}}, []byte("body")),
		Fingerprint(http.MethodPost, "desk.example", "/desk/a?b=c", nil, nil),
		Fingerprint(http.MethodPost, "desk.example", "/desk/a?b=cb", nil, []byte("ody")),
	} {
		is.True(fp != other)
	}
}
