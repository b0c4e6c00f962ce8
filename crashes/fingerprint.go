// Package crashes remembers which requests were running when a target crashed, so that a request that crashes each
// target that runs it is recognized at every VM, under whatever ID it arrives.
package crashes

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 16

// Fingerprint identifies a request by what its target acts on: method, host, URI, credentials and body. IDs, deadlines
// and resume positions, which differ between attempts of the same request, are not part of it.
func Fingerprint(method, host, uri string, header http.Header, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, host, uri, header.Get("Authorization")} {
		_, _ = io.WriteString(h, part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
