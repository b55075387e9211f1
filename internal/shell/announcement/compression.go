// Package announcement compresses the endpoint renewals that a daemon forwards to the leader. An endpoint announces the
// same name, service, address and slots every second. The daemon assigns a number to each distinct announcement, sends the
// full announcement until the leader has accepted it, and only the number from then on. The leader's daemon replaces the
// number by the announcement.
package announcement

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"galenamoor/internal/controlpb"
)

// UnknownNumberMessage is the message of the RESULT_UNAVAILABLE that answers a number unknown to the leader's daemon,
// because it has restarted or evicted the number. The sender then has to send the full renewal.
const UnknownNumberMessage = "announcement number unknown"

// maxAnnouncements bounds the announcements that a Sender keeps, and those that a Receiver keeps for each sender. It leaves
// room above the two-year capacity target of 6,900 endpoints on 7 daemons. When it is reached, all are dropped, and each
// has to be sent in full once more.
const maxAnnouncements = 16_384

// maxSenders bounds the senders for which a Receiver keeps announcements. Beyond it, those of all senders are dropped.
const maxSenders = 64

// Sender assigns numbers to the announcements that a daemon forwards. The zero value is ready for use, and it is safe for
// concurrent use.
type Sender struct {
	mutex      sync.Mutex
	leader     string                           // the leader to which the accepted flags apply
	lastNumber uint64                           // last assigned number
	byName     map[string]*numberedAnnouncement // by endpoint name
}

// numberedAnnouncement is an announcement and its number.
type numberedAnnouncement struct {
	number   uint64
	endpoint *controlpb.Endpoint
	accepted bool // whether the leader has accepted the announcement
}

// Compress returns the renewal to send to the leader: with the announcement until the leader has accepted it, and with its
// number alone afterwards. A change of leader starts this again for all announcements. The given renewal isn't changed.
func (s *Sender) Compress(leader string, r *controlpb.EndpointRenewal) *controlpb.EndpointRenewal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if leader != s.leader || len(s.byName) >= maxAnnouncements {
		s.leader, s.byName = leader, nil
	}
	if s.byName == nil {
		s.byName = map[string]*numberedAnnouncement{}
	}
	announcement := s.byName[r.GetEndpoint().GetName()]
	if announcement == nil || !proto.Equal(announcement.endpoint, r.GetEndpoint()) {
		s.lastNumber++ // a number is never reused for another announcement
		announcement = &numberedAnnouncement{number: s.lastNumber, endpoint: r.GetEndpoint()}
		s.byName[r.GetEndpoint().GetName()] = announcement
	}
	if announcement.accepted {
		return &controlpb.EndpointRenewal{Number: announcement.number, InUse: r.GetInUse()}
	}
	return &controlpb.EndpointRenewal{Number: announcement.number, InUse: r.GetInUse(), Endpoint: r.GetEndpoint()}
}

// HandleResult processes the leader's answer to a renewal of the named endpoint that Compress returned.
func (s *Sender) HandleResult(leader, name string, sent *controlpb.EndpointRenewal, result *controlpb.Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	announcement := s.byName[name]
	if leader != s.leader || announcement == nil || announcement.number != sent.GetNumber() {
		return
	}
	announcement.accepted = result.GetCode() == controlpb.ResultCode_RESULT_OK
}

// Receiver expands the renewals that Senders have compressed. The zero value is ready for use, and it is safe for
// concurrent use.
type Receiver struct {
	mutex    sync.Mutex
	bySender map[uint64]map[uint64]*controlpb.Endpoint // announcements by sender and number
}

// Expand returns the full renewal, or nil if the renewal contains only a number and the number is unknown. If the renewal
// contains both an announcement and its number, Expand stores the announcement. Numbers are separate for each sender ID.
func (r *Receiver) Expand(sender uint64, renewal *controlpb.EndpointRenewal) *controlpb.EndpointRenewal {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if renewal.GetEndpoint() == nil {
		endpoint := r.bySender[sender][renewal.GetNumber()]
		if endpoint == nil {
			return nil
		}
		return &controlpb.EndpointRenewal{Endpoint: proto.CloneOf(endpoint), InUse: renewal.GetInUse()}
	}
	if renewal.GetNumber() != 0 {
		r.store(sender, renewal.GetNumber(), proto.CloneOf(renewal.GetEndpoint()))
	}
	return &controlpb.EndpointRenewal{Endpoint: renewal.GetEndpoint(), InUse: renewal.GetInUse()}
}

func (r *Receiver) store(sender, number uint64, endpoint *controlpb.Endpoint) {
	announcements := r.bySender[sender]
	if announcements == nil && len(r.bySender) >= maxSenders || r.bySender == nil {
		r.bySender = map[uint64]map[uint64]*controlpb.Endpoint{}
	}
	if announcements == nil || len(announcements) >= maxAnnouncements {
		announcements = map[uint64]*controlpb.Endpoint{}
		r.bySender[sender] = announcements
	}
	announcements[number] = endpoint
}
