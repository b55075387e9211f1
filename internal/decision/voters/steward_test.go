package voters

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"galenamoor/internal/controlpb"
)

// Each session lists members, one a line "ID voter|learner ADDRESS [silent]", after "for" a time, after "tolerates" the
// losses that the group must bear, 1 if left out, and after "->" the change that is expected after the members were so for
// that time. Guards against groups that lose their majority, and against ones that grow to an
// even number.
func TestSessions(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/groups.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			text, want, _ := strings.Cut(string(file.Data), "->")
			wait, tolerated, members := time.Duration(0), 1, []*controlpb.Member(nil)
			peers := map[uint64]Peer{}
			for line := range strings.Lines(text) {
				words := strings.Fields(line)
				if len(words) == 2 && words[0] == "for" {
					wait, err = time.ParseDuration(words[1])
					if err != nil {
						t.Fatal(err)
					}
					continue
				}
				if len(words) == 2 && words[0] == "tolerates" {
					tolerated, err = strconv.Atoi(words[1])
					if err != nil {
						t.Fatal(err)
					}
					continue
				}
				if len(words) < 3 {
					continue
				}
				id, err := strconv.ParseUint(words[0], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				members = append(members, &controlpb.Member{Id: id, Voter: words[1] == "voter", Address: words[2]})
				peers[id] = Peer{Active: len(words) == 3}
			}
			steward := New(tolerated)
			now := time.Unix(0, 0)
			steward.Next(now, 1, members, peers)
			if got := describe(steward.Next(now.Add(wait), 1, members, peers)); got != strings.TrimSpace(want) {
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
