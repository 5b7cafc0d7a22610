package relay

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"chicoryhoist.example/hoist"
	"chicoryhoist.example/hoist/assign"
	"chicoryhoist.example/hoist/event"
)

const (
	// refusalLogInterval is the shortest time between two log lines about early refusals of a shard.
	refusalLogInterval = hoist.Second
	// modelLogInterval is the time between two log lines about the learned models of a shard.
	modelLogInterval = hoist.Minute
)

// engineLog bounds the log lines about limited engines; only the goroutine of the dispatcher uses it.
type engineLog struct {
	// refusedAt and modelsAt are the times of the last lines, and refused counts the refusals since the former.
	refusedAt, modelsAt hoist.Millis
	refused             int
	// published is set while the metrics hold models of the shard.
	published bool
}

// recordRefusal counts an early refusal, and logs it with its inputs unless another one was logged a moment ago.
func (d *dispatcher) recordRefusal(x assign.Refuse) {
	in := x.Inputs
	d.metrics.refused.WithLabelValues(rankLabel(in.Rank), x.Reason.String()).Inc()
	d.engineLog.refused++
	now := d.clock.Now()
	if d.engineLog.refusedAt > 0 && now-d.engineLog.refusedAt < refusalLogInterval {
		return
	}
	d.log.Write(event.RefusedEarly, logrus.Fields{
		"shard": d.shard, "reason": x.Reason.String(), "count": d.engineLog.refused, "rank": in.Rank, "workspace": in.Workspace,
		"expected_ms": in.Expected, "left_ms": in.Left, "after_ms": x.After, "rate": in.Rate,
		"taken": in.Taken, "slots": in.Slots, "waiting": in.Waiting, "excess": in.Excess,
	})
	d.engineLog.refused, d.engineLog.refusedAt = 0, now
}

// publishModels sets the metrics of the learned models if this instance owns the shard, and logs them from time to time.
func (d *dispatcher) publishModels() {
	rate, models := d.state.Load().Models()
	if len(models) == 0 || *d.owner.Load() != d.self {
		if d.engineLog.published {
			d.metrics.forgetModels(d.shard)
			d.engineLog.published = false
		}
		return
	}
	d.engineLog.published = true
	d.metrics.setModels(d.shard, rate, models)
	now := d.clock.Now()
	if d.engineLog.modelsAt > 0 && now-d.engineLog.modelsAt < modelLogInterval {
		return
	}
	d.engineLog.modelsAt = now
	least, greatest := models[0], models[0]
	for _, m := range models {
		if m.Factor < least.Factor {
			least = m
		}
		if m.Factor > greatest.Factor {
			greatest = m
		}
	}
	d.log.Write(event.EnginesLearned, logrus.Fields{
		"shard": d.shard, "rate": rate, "engines": len(models), "fastest": least.Server, "fastest_factor": strconv.FormatFloat(least.Factor, 'f', 2, 64),
		"slowest": greatest.Server, "slowest_factor": strconv.FormatFloat(greatest.Factor, 'f', 2, 64),
	})
}
