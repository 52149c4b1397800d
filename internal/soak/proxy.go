package soak

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address on loopback, and misbehaves when it
// is told to.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections map[net.Conn]bool
	delay       time.Duration
	isSilent    bool
	isOneWay    bool
	changed     chan struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, connections: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(client)
	}
}

func (p *proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.connections[client], p.connections[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.connections, client)
	delete(p.connections, server)
	p.mu.Unlock()
}

// copy passes bytes on. While the proxy is silent it holds them back.
func (p *proxy) copy(to, from net.Conn, isAnswer bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.hold(isAnswer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (p *proxy) hold(isAnswer bool) {
	for {
		p.mu.Lock()
		isHeld, delay, changed := p.isSilent || p.isOneWay && isAnswer, p.delay, p.changed
		p.mu.Unlock()
		if !isHeld {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// set changes how the proxy behaves.
func (p *proxy) set(silent, oneWay bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isSilent, p.isOneWay, p.delay = silent, oneWay, delay
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset breaks all connections off.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if tcp, isTCP := c.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(false, false, 0)
	p.reset()
}
