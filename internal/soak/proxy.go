package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a loopback address and injects network faults
// on request.
type proxy struct {
	listener net.Listener
	target   string

	mu              sync.Mutex
	connections     map[net.Conn]bool
	delay           time.Duration
	blocksBoth      bool
	blocksResponses bool
	changed         chan struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, connections: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept(listener)
	return p, nil
}

func (p *proxy) address() string { return p.currentListener().Addr().String() }

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
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

// copy forwards bytes in one direction until either side closes, delayed or blocked
// as set.
func (p *proxy) copy(to, from net.Conn, isAnswer bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.waitUntilUnblocked(isAnswer)
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

func (p *proxy) waitUntilUnblocked(isAnswer bool) {
	for {
		p.mu.Lock()
		isBlocked, delay, changed := p.blocksBoth || p.blocksResponses && isAnswer, p.delay, p.changed
		p.mu.Unlock()
		if !isBlocked {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}

// set blocks both directions or only the responses, and sets the delay of each chunk
// of bytes.
func (p *proxy) set(blocksBoth, blocksResponses bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocksBoth, p.blocksResponses, p.delay = blocksBoth, blocksResponses, delay
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset closes all connections with a TCP reset.
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
	_ = p.currentListener().Close()
	p.set(false, false, 0)
	p.reset()
}
