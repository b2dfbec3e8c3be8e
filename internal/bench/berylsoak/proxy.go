package berylsoak

import (
	"context"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

// The modes of a proxy.
const (
	modePass mode = iota
	// modeDelay passes everything late.
	modeDelay
	// modeSilent passes nothing, without closing.
	modeSilent
	// modeOneWay passes requests and no answers.
	modeOneWay
	// modeReset breaks connections off.
	modeReset
	modes
)

// delay is how late a delayed proxy passes data.
const delay = 150 * time.Millisecond

// proxy passes connections to a target.
type proxy struct {
	target string
	ln     net.Listener

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
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

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// set changes the mode; open connections follow it.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.conns {
			_ = c.Close() // It is being broken off.
		}
	}
}

func (p *proxy) accept(ctx context.Context) {
	go func() {
		<-ctx.Done()
		p.set(modeReset)
		_ = p.ln.Close() // The soak is over.
	}()
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.current() == modeReset {
			_ = c.Close() // A connection that is refused.
			continue
		}
		go p.serve(ctx, c)
	}
}

func (p *proxy) serve(ctx context.Context, c net.Conn) {
	var d net.Dialer
	up, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = c.Close() // The target is gone.
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(up, c, false) })
	wg.Go(func() { p.copy(c, up, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes one direction; data that a fault holds back is lost for good, like that of a cut link.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() {
		_ = to.Close()   // Either end is gone.
		_ = from.Close() // Either end is gone.
	}()
	b := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			switch m := p.current(); {
			case m == modeDelay:
				time.Sleep(delay)
			case m == modeSilent, m == modeOneWay && answers:
				lost = true
			}
			if !lost {
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
