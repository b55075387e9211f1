package voters

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/internal/controlpb"
)

// TestMembershipChanges guards against groups that lose their majority and against groups that grow to an even number of voters.
// Each file of the archive lists the members, one per line as "ID voter|learner ADDRESS [inactive|lost]", where a lost member
// has replied to this leader and an inactive one never has; after "for", how long they have been in this state; after "started",
// how long the leader's process had been running by its first check (1 h by default); after "tolerates", the number of losses
// that the group must tolerate (1 by default); and after "->", the expected change.
func TestMembershipChanges(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/groups.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			state, want, _ := strings.Cut(string(file.Data), "->")
			started := time.Hour
			wait, tolerated, members := time.Duration(0), 1, []*controlpb.Member(nil)
			peers, elected := map[uint64]Peer{}, map[uint64]Peer{}
			for line := range strings.Lines(state) {
				fields := strings.Fields(line)
				if len(fields) == 2 && fields[0] == "for" {
					wait, err = time.ParseDuration(fields[1])
					if err != nil {
						t.Fatal(err)
					}
					continue
				}
				if len(fields) == 2 && fields[0] == "started" {
					started, err = time.ParseDuration(fields[1])
					if err != nil {
						t.Fatal(err)
					}
					continue
				}
				if len(fields) == 2 && fields[0] == "tolerates" {
					tolerated, err = strconv.Atoi(fields[1])
					if err != nil {
						t.Fatal(err)
					}
					continue
				}
				if len(fields) < 3 {
					continue
				}
				id, err := strconv.ParseUint(fields[0], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				members = append(members, &controlpb.Member{Id: id, Voter: fields[1] == "voter", Address: fields[2]})
				peers[id] = Peer{Active: len(fields) == 3}
				elected[id] = Peer{Active: len(fields) == 3 || fields[3] == "lost"}
			}
			now := time.Unix(0, 0)
			reconciler := New(tolerated, now.Add(-started))
			reconciler.Next(now, 1, members, elected)
			reconciler.Next(now, 1, members, peers)
			if got := describe(reconciler.Next(now.Add(wait), 1, members, peers)); got != strings.TrimSpace(want) {
				t.Errorf("%s, expected %s", got, strings.TrimSpace(want))
			}
		})
	}
}

func describe(change *controlpb.MembershipChange) string {
	if change == nil {
		return "none"
	}
	return strings.ToLower(change.GetKind().String()) + " " + strconv.FormatUint(change.GetMember().GetId(), 10)
}
