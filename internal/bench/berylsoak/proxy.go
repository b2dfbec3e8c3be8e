package berylsoak

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// mode is the fault that a proxy causes on its connections.
type mode int

// The modes of a proxy.
const (
	modePass mode = iota
	// modeDelay passes all data late.
	modeDelay
	// modeDropAll drops all data and keeps the connections open.
	modeDropAll
	// modeDropAnswers passes requests and drops answers.
	modeDropAnswers
	// modeReset closes connections.
	modeReset
	modeCount
	// modeMalformed passes answers with bodies that cannot be decoded. It follows modeCount, so that a seed that draws from the
	// modes before it still gives the same faults.
	modeMalformed
)

// proxyDelay is how late a proxy in modeDelay passes data.
const proxyDelay = 150 * time.Millisecond

// proxy forwards connections to a target.
type proxy struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	// bandwidth is the bytes a second at which answers pass, for all connections together; 0 is no limit. linkFree is when the
	// answers of before have passed.
	bandwidth int
	linkFree  time.Time
}

func newProxy(ctx context.Context, target string) (*proxy, error) {
	var cfg net.ListenConfig
	ln, err := cfg.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, ln: ln, conns: make(map[net.Conn]bool)}
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// setMode changes the mode, also for open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.conns {
			_ = c.Close() // The connection is of no further use.
		}
	}
}

// setBandwidth limits the bytes a second at which answers pass.
func (p *proxy) setBandwidth(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bandwidth = n
}

// reserveLink returns how long n bytes of an answer need, behind those that are on their way.
func (p *proxy) reserveLink(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bandwidth == 0 {
		return 0
	}
	if now := time.Now(); p.linkFree.Before(now) {
		p.linkFree = now
	}
	p.linkFree = p.linkFree.Add(time.Duration(n) * time.Second / time.Duration(p.bandwidth))
	return time.Until(p.linkFree)
}

func (p *proxy) accept(ctx context.Context) {
	go func() {
		<-ctx.Done()
		p.setMode(modeReset)
		_ = p.ln.Close() // The soak is over.
	}()
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = c.Close() // The fault is to refuse it.
			continue
		}
		go p.serve(ctx, c)
	}
}

func (p *proxy) serve(ctx context.Context, c net.Conn) {
	var d net.Dialer
	upstream, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = c.Close() // The target is gone.
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(upstream, c, false) })
	wg.Go(func() { p.forward(c, upstream, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// spoilBody replaces the first byte of an HTTP body, if the data holds one.
func spoilBody(data []byte) {
	const headerEnd = "\r\n\r\n"
	if i := bytes.Index(data, []byte(headerEnd)); i >= 0 && i+len(headerEnd) < len(data) {
		data[i+len(headerEnd)] = 0
	}
}

// forward copies the data of one direction. Once it has dropped data it also drops all that follows, since the stream
// would have a gap.
func (p *proxy) forward(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()   // It may be closed already.
		_ = from.Close() // It may be closed already.
	}()
	b := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			switch m := p.currentMode(); {
			case m == modeDelay:
				time.Sleep(proxyDelay)
			case m == modeDropAll, m == modeDropAnswers && answers:
				dropping = true
			case m == modeMalformed && answers:
				spoilBody(b[:n])
			}
			if answers {
				time.Sleep(p.reserveLink(n))
			}
			if !dropping {
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
