package adapter

import (
	"context"
	"time"

	"pomelomoor/internal/config/applier"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Instances implements handler.Instances.
type Instances struct {
	// Self is the instance's ID.
	Self      string
	Exchanger *exchanger.Exchanger
	Applier   *applier.Applier
}

// Instances implements handler.Instances.
func (instances Instances) Instances(context.Context) ([]presenter.Instance, error) {
	var list []presenter.Instance
	for _, member := range instances.Exchanger.Live() {
		state := "Live"
		if member.GetLeaving() {
			state = "Leaving"
		}
		list = append(list, instances.instanceDocument(member, state))
	}
	for _, member := range instances.Exchanger.Suspected() {
		list = append(list, instances.instanceDocument(member, "Suspected"))
	}
	return list, nil
}

func (instances Instances) instanceDocument(member *peerpb.Member, state string) presenter.Instance {
	address, _ := exchanger.Address(member)
	document := presenter.Instance{
		ID:             member.GetId(),
		Region:         member.GetRegion(),
		Site:           member.GetSite(),
		Address:        address,
		State:          state,
		Self:           member.GetId() == instances.Self,
		ConfigRevision: member.GetConfigRevision(),
		StoreReachable: member.GetStoreReachable(),
		Heard:          instances.Exchanger.LastHeard(member.GetId()),
		FreeSlots:      map[string]int{},
	}
	if document.Self {
		// This instance's own record is only as recent as the last exchange.
		document.Heard = time.Now()
		document.ConfigRevision = instances.Applier.Current().Revision
	}
	for _, shard := range member.GetShards() {
		document.Shards = append(document.Shards, presenter.Shard{
			ID:       descriptor.ShardID(shard.GetShard()),
			Epoch:    shard.GetEpoch(),
			Capacity: exchanger.FromAmount(shard.GetCapacity()),
			Free:     exchanger.FromAmount(shard.GetFree()),
			Waiting:  exchanger.FromAmount(shard.GetWaiting()),
		})
	}
	for _, free := range member.GetFreeSlots() {
		document.FreeSlots[free.GetService()] = int(free.GetSlots())
	}
	return document
}
