package measure

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/history"
	"github.com/kingcupknot/kingcupknot/workload"
)

var zero = time.Unix(1000, 0)

const ms = time.Millisecond

func op(session string, k history.Kind, start, end time.Duration, replica bool) Operation {
	return Operation{
		StartedAt: zero.Add(start), EndedAt: zero.Add(end),
		Operation: history.Operation{
			Service: "shop", Session: session, Kind: k, Outcome: history.OutcomeAcknowledged, Replica: replica,
		},
	}
}

// TestGapAndRecovery guards against wrong failover figures: a pause of 200 ms in
// the acknowledged writes must be found as the gap and in the time to recovery,
// and only at a mark around the pause.
func TestGapAndRecovery(t *testing.T) {
	var all []Operation
	for at := time.Duration(0); at < 4*time.Second; at += 5 * ms {
		if at > time.Second && at < 1200*ms {
			continue
		}
		all = append(all, op("s", history.KindRegisterWrite, at, at+ms, false))
	}
	m := Mark{At: zero.Add(1003 * ms), Service: "shop"}
	if got, ok := LongestWriteGap(all, m); !ok || got != 200*ms {
		t.Errorf("the gap is %v, %v", got, ok)
	}
	if got, ok := RecoveryTime(all, m); !ok || got != 300*ms {
		t.Errorf("goodput recovered after %v, %v", got, ok)
	}
	if _, ok := LongestWriteGap(all, Mark{At: zero.Add(time.Minute), Service: "shop"}); ok {
		t.Error("a gap was found after the last write")
	}
	if got, ok := RecoveryTime(all, Mark{At: zero.Add(2500 * ms), Service: "shop"}); !ok || got != 0 {
		t.Errorf("without a drop, goodput recovered after %v, %v", got, ok)
	}
	bad := op("s", history.KindRegisterRead, 1100*ms, 1150*ms, false)
	bad.Outcome = history.OutcomeRefused
	if n := CountUnacknowledged(append(all, bad), m); n != 1 {
		t.Errorf("%d operations were not acknowledged", n)
	}
}

// TestShare guards against a wrong share of replica reads. A read counts as
// possible only if the session's last write ended at least the lag before the
// read. A browsing read always counts as possible.
func TestShare(t *testing.T) {
	all := []Operation{
		op("a", history.KindRegisterWrite, 0, 10*ms, false),
		op("a", history.KindRegisterRead, 40*ms, 41*ms, false),   // before the lag has passed
		op("a", history.KindRegisterRead, 60*ms, 61*ms, true),    // possible, served
		op("a", history.KindRegisterRead, 100*ms, 101*ms, false), // possible, not served
		op("b", history.KindBrowse, 20*ms, 21*ms, true),
	}
	if served, possible := ReplicaReadShare(all, 50*ms, history.KindRegisterRead); served != 1 || possible != 2 {
		t.Errorf("replicas served %d of %d possible reads", served, possible)
	}
	if served, possible := ReplicaReadShare(all, 50*ms, history.KindBrowse); served != 1 || possible != 1 {
		t.Errorf("replicas served %d of %d possible browsing reads", served, possible)
	}
}

// TestFiles guards against data lost between the records of runs and the table.
// Operations and samples are written to files and read again, and the table is
// calculated from the samples.
func TestFiles(t *testing.T) {
	name := filepath.Join(t.TempDir(), "operations")
	r := workload.Result{Start: zero, Operations: []history.Operation{
		{Service: "shop", Session: "a", Kind: history.KindRegisterRead, Start: ms, End: 3 * ms, Outcome: history.OutcomeRefused, Replica: true},
	}}
	if err := WriteOperations(name, r); err != nil {
		t.Fatal(err)
	}
	got, err := ReadOperations(name)
	if err != nil || len(got) != 1 || !got[0].EndedAt.Equal(zero.Add(3*ms)) || !got[0].Replica {
		t.Fatalf("read back %+v, %v", got, err)
	}
	samplesFile := filepath.Join(t.TempDir(), "facts")
	for _, x := range []Sample{
		{UserAlWusta, "own", "gap-killed", 20},
		{UserAlWusta, "own", "gap-killed", 310},
		{UserAlWusta, PolicyPlain, "gap-killed", 40},
		{UserAlWusta, "own", "limit-use", 95},
	} {
		if err := AppendSamples(samplesFile, x); err != nil {
			t.Fatal(err)
		}
	}
	samples, err := ReadSamples(samplesFile)
	if err != nil {
		t.Fatal(err)
	}
	verdicts := map[string]string{}
	table := NewTable("note", samples, UserAlWusta)
	for _, l := range table.Lines {
		verdicts[l.Figure] = l.Verdict
		if l.Figure == "gap-killed" && (*l.Median != 165 || *l.Worst != 310 || *l.Spread != 290 || *l.Baseline != 40) {
			t.Errorf("the line is %+v", l)
		}
	}
	if verdicts["gap-killed"] != VerdictMiss || verdicts["limit-use"] != VerdictHit || verdicts["gap-frozen"] != VerdictNotRun {
		t.Errorf("verdicts are %v", verdicts)
	}
	var out strings.Builder
	if err := table.Print(&out); err != nil {
		t.Fatal(err)
	}
	printed := strings.Split(strings.TrimSpace(out.String()), "\n")
	if !strings.HasPrefix(printed[len(printed)-1], `{"note":"note"`) {
		t.Error("the last line is not the JSON object")
	}
}
