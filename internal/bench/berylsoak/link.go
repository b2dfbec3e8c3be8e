package berylsoak

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// link stands before a host and forwards the daemons' connections to it. In a cut the kernel drops the packets of the daemon: sent data
// stays unacknowledged and arrives late if the connection outlasts the cut, and new connections hang. Answers wait until the cut has ended.
type link struct {
	ctx          context.Context
	network      *network
	host, target string
	address      string
	// toWorker is true if the host is a worker.
	toWorker bool
	// ln is nil while new connections are refused. The lock of the network guards it and conns.
	ln    *net.TCPListener
	conns map[*net.TCPConn]string
}

// newLink starts a link to a host that is reached at the target address.
func newLink(ctx context.Context, n *network, host, target string, toWorker bool) (*link, error) {
	l := &link{
		ctx: ctx, network: n, host: host, target: target, address: "127.0.0.1:0", toWorker: toWorker, conns: make(map[*net.TCPConn]string),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := l.listen(); err != nil {
		return nil, err
	}
	n.links = append(n.links, l)
	context.AfterFunc(ctx, l.close)
	return l, nil
}

func (l *link) listen() error {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // Its sockets take no filters.
	ln, err := cfg.Listen(l.ctx, "tcp4", l.address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s", l.host)
	}
	l.ln, l.address = ln.(*net.TCPListener), ln.Addr().String()
	if err := setFilter(l.ln, nil); err != nil {
		return eris.Wrap(err, "filter of a socket")
	}
	go l.accept(l.ln)
	return nil
}

// close ends the listener and all connections.
func (l *link) close() {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.ln != nil {
		_ = l.ln.Close() // The soak is over.
		l.ln = nil
	}
	for c := range l.conns {
		resetConn(c)
	}
}

// update applies the cuts in force to the listener and to the open connections. The caller holds the lock of the network.
func (l *link) update() {
	if l.ctx.Err() != nil {
		return
	}
	refuses := l.network.down[l.host] && !l.network.isCut(l.host)
	if refuses && l.ln != nil {
		_ = l.ln.Close() // Nothing must listen while the process of the host doesn't run.
		l.ln = nil
	}
	if !refuses && l.ln == nil {
		if err := l.listen(); err != nil {
			panic(err) // The soak can't go on: the address is its own.
		}
	}
	if l.ln != nil {
		var blocked []netip.Addr
		for ip, daemon := range l.network.daemons {
			if l.network.lost[direction{daemon, l.host}]+l.network.lost[direction{l.host, daemon}] > 0 {
				blocked = append(blocked, ip)
			}
		}
		_ = setFilter(l.ln, blocked) // It worked when the link was made.
	}
	for c, daemon := range l.conns {
		l.updateConn(c, daemon)
	}
}

func (l *link) updateConn(c *net.TCPConn, daemon string) {
	forth, back := direction{daemon, l.host}, direction{l.host, daemon}
	var blocked []netip.Addr
	if l.network.lost[forth] > 0 {
		blocked = append(blocked, remoteIP(c))
	}
	_ = setFilter(c, blocked) // A connection that is closed needs none.
	if l.network.reset[forth]+l.network.reset[back] > 0 {
		resetConn(c)
	}
}

func (l *link) accept(ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c *net.TCPConn) {
	daemon := l.network.daemons[remoteIP(c)]
	l.network.mu.Lock()
	l.conns[c] = daemon
	l.updateConn(c, daemon)
	l.network.mu.Unlock()
	defer func() {
		l.network.mu.Lock()
		delete(l.conns, c)
		l.network.mu.Unlock()
	}()
	var d net.Dialer
	upstream, err := d.DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		resetConn(c) // The process of the host doesn't run.
		return
	}
	back := direction{l.host, daemon}
	var wg sync.WaitGroup
	wg.Go(func() { l.forwardCalls(upstream, c, daemon) })
	wg.Go(func() {
		l.forwardAnswers(c, upstream, back)
		l.network.await(l.ctx, back) // The end of the connection is a packet, too.
		_ = c.Close()                // It may be closed already.
	})
	wg.Wait()
}

func (l *link) forwardCalls(to io.WriteCloser, from io.Reader, daemon string) {
	defer func() { _ = to.Close() }() // It may be closed already.
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && l.toWorker {
			l.network.recordCall(daemon)
		}
		if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (l *link) forwardAnswers(to io.Writer, from io.Reader, back direction) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !l.network.await(l.ctx, back) {
			return
		}
		if _, writeErr := to.Write(b[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func remoteIP(c *net.TCPConn) netip.Addr {
	return c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// resetConn closes a connection with a reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0) // It may be closed already.
	_ = c.Close()      // It may be closed already.
}

// packetSource is where a socket filter finds the source address of a packet: in the header of the network layer.
const packetSource = 0xfff00000 + 12

// setFilter makes the kernel drop the packets from the given addresses that arrive at a socket.
func setFilter(s syscall.Conn, blocked []netip.Addr) error {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: packetSource}}
	for _, ip := range blocked {
		b := ip.As4()
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(b[:])},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32})
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Join(err, optErr)
}
