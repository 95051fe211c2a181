package dispatch

import (
	"fmt"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// EncodeSpeeds returns reports of speeds as they are sent to other VMs.
func EncodeSpeeds(reports []capacity.Report) []*peer.Speed {
	var list []*peer.Speed
	for _, r := range reports {
		list = append(list, &peer.Speed{Upstream: r.Server, Level: uint32(r.Level), Count: uint32(r.Count), Sum: int32(r.Sum), Factor: int32(r.Factor)})
	}
	return list
}

// DecodeSpeeds returns the reports of a message, of which capacity.Core ignores those out of range.
func DecodeSpeeds(list []*peer.Speed) []capacity.Report {
	var reports []capacity.Report
	for _, s := range list[:min(len(list), capacity.MaxReported)] {
		reports = append(reports, capacity.Report{Server: s.GetUpstream(), Level: int(s.GetLevel()), Count: int(s.GetCount()), Sum: int(s.GetSum()), Factor: int(s.GetFactor())})
	}
	return reports
}

// SpeedLog returns a callback that logs the speeds that changed, with their evidence.
func SpeedLog(logger log.Interface) func([]capacity.Change) {
	return func(changes []capacity.Change) {
		for _, change := range changes {
			logger.WithFields(log.Fields{
				"upstream": change.Server, "from": fmt.Sprintf("%.2f", change.From), "to": fmt.Sprintf("%.2f", change.To), "knee": change.Knee,
				"windows": change.Windows, "observations": change.Observations, "error": fmt.Sprintf("%.3f", change.Error),
			}).Info("speed changed")
		}
	}
}

// OnSpeeds sets a callback that receives the learned speeds of engines that changed. The callback must not block; set it before Run.
func (d *Dispatcher) OnSpeeds(callback func([]capacity.Change)) { d.onSpeeds = callback }
