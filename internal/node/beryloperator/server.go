package beryloperator

import (
	"context"
	"net/http"
	"strings"

	"github.com/beryllatch/beryllatch/internal/node/berylintake"
	"github.com/beryllatch/beryllatch/internal/rpc/berylmessage"
	"github.com/beryllatch/beryllatch/internal/rpc/berylwire"
	"github.com/twitchtv/twirp"
)

// defaultMaxBody is the largest request body in bytes. It is several times the size of a call that imports a fleet of 630
// instances, at about 300 bytes each.
const defaultMaxBody = 1 << 20

// Option changes a setting of the handler.
type Option func(*handler)

// WithMaxBody sets the largest request body in bytes.
func WithMaxBody(n int64) Option { return func(h *handler) { h.maxBody = n } }

// New returns the HTTP handler of the operators' interface, whose paths start with /twirp/.
func New(n Node, credentials []Credential, opts ...Option) http.Handler {
	h := &handler{credentials: credentials, maxBody: defaultMaxBody}
	for _, o := range opts {
		o(h)
	}
	h.next = berylintake.WithBody(func() int64 { return h.maxBody }, berylmessage.RequestBytes, berylwire.NewOperatorServer(&service{node: n}))
	return h
}

// handler identifies the operator and bounds the body before a call is decoded.
type handler struct {
	credentials []Credential
	maxBody     int64
	next        http.Handler
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// ServeHTTP passes on calls with a known token, with the operator's name in the context, and refuses any other.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refuse := func(err twirp.Error) {
		berylintake.SkipBody(w, r)
		_ = twirp.WriteError(w, err)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		refuse(twirp.Unauthenticated.Error("the operator token is missing"))
		return
	}
	name, ok := identify(h.credentials, token)
	if !ok {
		refuse(twirp.Unauthenticated.Error("the operator token is unknown"))
		return
	}
	if r.ContentLength > h.maxBody {
		refuse(twirp.InvalidArgument.Errorf("the body is larger than %d bytes", h.maxBody))
		return
	}
	h.next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}
