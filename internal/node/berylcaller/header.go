package berylcaller

import (
	"net/http"
	"strings"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"
)

// connectionHeaders apply to a single connection and are passed on neither to workers nor to callers.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true, "Expect": true,
	"Content-Length": true,
}

// testPrefix starts the names of the headers that control the stand-in worker of tests. Unlike the other headers of the
// system they are passed on to the worker.
const testPrefix = "Beryllatch-Test-"

// copyRequestHeaders copies the request headers that the worker gets. It leaves out the caller's keys, connection
// headers and the headers that control the system itself.
func copyRequestHeaders(dst, src http.Header) {
	for name, values := range src {
		internal := strings.HasPrefix(name, "Beryllatch-") && !strings.HasPrefix(name, testPrefix)
		if internal || connectionHeaders[name] || name == "Authorization" || name == berylheader.IdempotencyKey {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// copyAnswerHeaders copies the answer headers that the caller gets. It leaves out connection headers and those of the
// system itself.
func copyAnswerHeaders(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, "Beryllatch-") || connectionHeaders[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}
