package berylcaller

import (
	"net/http"
	"strings"

	"github.com/beryllatch/beryllatch/internal/node/berylheader"
)

// connectionHeaders concern a single connection and never cross the system.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Proxy-Connection": true, "Expect": true,
	"Content-Length": true,
}

// testPrefix marks the headers that steer the stand-in worker; they cross the system like any other header.
const testPrefix = "Beryllatch-Test-"

// copyRequestHeaders copies the headers that the worker gets: neither secrets nor headers for the system itself.
func copyRequestHeaders(dst, src http.Header) {
	for name, values := range src {
		own := strings.HasPrefix(name, "Beryllatch-") && !strings.HasPrefix(name, testPrefix)
		if own || connectionHeaders[name] || name == "Authorization" || name == berylheader.IdempotencyKey {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

// copyAnswerHeaders copies the headers that the caller gets.
func copyAnswerHeaders(dst, src http.Header) {
	for name, values := range src {
		if strings.HasPrefix(name, "Beryllatch-") || connectionHeaders[name] {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}
