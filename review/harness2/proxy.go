package main

import (
	"net"
	"sync"
	"time"
)

// The end of a connection that follows held bytes is sent once these are acknowledged: after the time from a client to a controller and back,
// and the time for which a receiver may delay its acknowledgement.
const (
	roundTrip  = 6 * time.Millisecond
	delayedAck = 40 * time.Millisecond
)

// proxy is the path from the operator to the machine of a controller. While the machine stands still, no byte passes, and the sender keeps what
// it has sent, as TCP does.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	awake    chan struct{} // closed unless the machine stands still
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", platformIP()+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, awake: make(chan struct{})}
	close(p.awake)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) hold() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.awake = make(chan struct{})
}

func (p *proxy) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.awake)
}

// await waits until the machine is awake, and reports whether it stood still.
func (p *proxy) await() bool {
	p.mutex.Lock()
	awake := p.awake
	p.mutex.Unlock()
	select {
	case <-awake:
		return false
	default:
	}
	<-awake
	return true
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			p.await() // it answers no new connection while it stands still
			to, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = from.Close()
				return
			}
			go p.copy(from, to)
			p.copy(to, from)
		}()
	}
}

func (p *proxy) copy(from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	held := false
	for {
		n, err := from.Read(buffer)
		held = p.await() || held
		if err != nil {
			if held {
				time.Sleep(roundTrip + delayedAck)
			}
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
